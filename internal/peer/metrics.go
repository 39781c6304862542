package peer

import "github.com/VictoriaMetrics/metrics"

// linkMetrics count the traffic of the link.
type linkMetrics struct {
	messagesSent, messagesReceived *metrics.Counter
	bytesSent, bytesReceived       *metrics.Counter
	pings, dials, dialsFailed      *metrics.Counter
	lost, refused, answersDropped  *metrics.Counter
	unauthenticated                *metrics.Counter
}

func newLinkMetrics(set *metrics.Set) *linkMetrics {
	return &linkMetrics{
		messagesSent:     set.NewCounter("daisyslip_peer_messages_sent_total"),
		messagesReceived: set.NewCounter("daisyslip_peer_messages_received_total"),
		bytesSent:        set.NewCounter("daisyslip_peer_sent_bytes_total"),
		bytesReceived:    set.NewCounter("daisyslip_peer_received_bytes_total"),
		pings:            set.NewCounter("daisyslip_peer_pings_total"),
		dials:            set.NewCounter("daisyslip_peer_dials_total"),
		dialsFailed:      set.NewCounter("daisyslip_peer_dials_failed_total"),
		lost:             set.NewCounter("daisyslip_peer_connections_lost_total"),
		refused:          set.NewCounter("daisyslip_peer_requests_refused_total"),
		answersDropped:   set.NewCounter("daisyslip_peer_answers_dropped_total"),
		unauthenticated:  set.NewCounter("daisyslip_peer_handshakes_refused_total"),
	}
}

func (m *linkMetrics) sent(bytes int) {
	m.messagesSent.Inc()
	m.bytesSent.Add(bytes)
}

func (m *linkMetrics) received(bytes int) {
	m.messagesReceived.Inc()
	m.bytesReceived.Add(bytes)
}
