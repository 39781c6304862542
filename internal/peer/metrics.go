package peer

import "github.com/VictoriaMetrics/metrics"

// linkMetrics are the counters of one link.
type linkMetrics struct {
	messagesSent, messagesReceived                     *metrics.Counter
	bytesSent, bytesReceived                           *metrics.Counter
	pings, dials, dialsFailed                          *metrics.Counter
	connectionsLost, requestsRefused, responsesDropped *metrics.Counter
	handshakesRefused, handlerPanics                   *metrics.Counter
}

func newLinkMetrics(set *metrics.Set) *linkMetrics {
	return &linkMetrics{
		messagesSent:      set.NewCounter("daisyslip_peer_messages_sent_total"),
		messagesReceived:  set.NewCounter("daisyslip_peer_messages_received_total"),
		bytesSent:         set.NewCounter("daisyslip_peer_sent_bytes_total"),
		bytesReceived:     set.NewCounter("daisyslip_peer_received_bytes_total"),
		pings:             set.NewCounter("daisyslip_peer_pings_total"),
		dials:             set.NewCounter("daisyslip_peer_dials_total"),
		dialsFailed:       set.NewCounter("daisyslip_peer_dials_failed_total"),
		connectionsLost:   set.NewCounter("daisyslip_peer_connections_lost_total"),
		requestsRefused:   set.NewCounter("daisyslip_peer_requests_refused_total"),
		responsesDropped:  set.NewCounter("daisyslip_peer_answers_dropped_total"),
		handshakesRefused: set.NewCounter("daisyslip_peer_handshakes_refused_total"),
		handlerPanics:     set.NewCounter("daisyslip_peer_handler_panics_total"),
	}
}

// countSent counts one message that was written to a connection.
func (m *linkMetrics) countSent(bytes int) {
	m.messagesSent.Inc()
	m.bytesSent.Add(bytes)
}

// countReceived counts one message that was read from a connection.
func (m *linkMetrics) countReceived(bytes int) {
	m.messagesReceived.Inc()
	m.bytesReceived.Add(bytes)
}
