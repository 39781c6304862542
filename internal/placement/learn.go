package placement

import (
	"math"
	"time"
)

// average is a mean of samples whose weights halve with each half-life, so that what is
// not observed any more is forgotten. The zero value has no samples.
type average struct {
	sum, weight float64
	at          time.Time
}

// add adds a sample.
func (a *average) add(now time.Time, value, weight float64, halfLife time.Duration) {
	decay := a.decay(now, halfLife)
	a.sum, a.weight, a.at = a.sum*decay+value*weight, a.weight*decay+weight, now
}

// decay returns the factor by which the weights have shrunk since the last sample.
func (a *average) decay(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(now.Sub(a.at), 0)) / float64(halfLife))
}

// mean returns the mean of the samples and of a prior that counts like samples of
// priorWeight.
func (a *average) mean(now time.Time, halfLife time.Duration, prior, priorWeight float64) float64 {
	decay := a.decay(now, halfLife)
	return (a.sum*decay + prior*priorWeight) / (a.weight*decay + priorWeight)
}

const (
	// poolHalfLife is that of the means of a pool. Each router sees one request in
	// about seventy, so it takes some time to see a hundred.
	poolHalfLife = 20 * time.Second
	// endpointHalfLife is that of what is learnt of one endpoint. An endpoint that gets
	// no requests for being slow is tried again after a few half-lives.
	endpointHalfLife = 30 * time.Second
	// utilisationHalfLife is that of the usual utilisation of an endpoint. It is short
	// against the changes of the demand for a prefix.
	utilisationHalfLife = 5 * time.Second
	// priorSamples is the weight of the pool's mean in that of an endpoint. With it, one
	// slow response changes the speed of an endpoint by at most a factor of 1.3.
	priorSamples = 4
	// maxLogRatio bounds the logarithm of a sample, as callers and links can make single
	// responses slow beyond all measure. It corresponds to a factor of 4, the most by
	// which endpoints are taken to differ.
	maxLogRatio = 1.386
	// queueWeight is the weight of a time that contains the queue as a sample of the
	// speed, relative to the time between events. The queue is known less well.
	queueWeight = 0.3
)

// speed is the learnt factor of an endpoint's times.
type speed struct{ logRatio average }

// factor returns the factor relative to the pool; 1 without samples.
func (s *speed) factor(now time.Time) float64 {
	return math.Exp(s.logRatio.mean(now, endpointHalfLife, 0, priorSamples))
}

// learn takes in the ratio of an observed time to the expected one. Baseline is the mean
// of such ratios in the pool, so that a fault of the estimates that applies to all
// endpoints is not taken for a property of this one.
func (s *speed) learn(now time.Time, observed, expected, weight float64, baseline *average) {
	if !(observed > 0) || !(expected > 0) {
		return
	}
	ratio := math.Log(observed / expected)
	baseline.add(now, ratio, weight, poolHalfLife)
	ratio -= baseline.mean(now, poolHalfLife, 0, 0)
	s.logRatio.add(now, min(max(ratio, -maxLogRatio), maxLogRatio), weight, endpointHalfLife)
}

// Values of a pool before there are samples.
const (
	initialUtilisation  = 0.3
	initialPromptTokens = 1000
	initialOutputTokens = 150
	// initialWeight is the weight of these values, in samples.
	initialWeight = 3
)

// poolState is what the balancer has learnt of a pool.
type poolState struct {
	utilisation, promptTokens, outputTokens, slowness average
	firstRatio, stepRatio, wholeRatio                 average // baselines of speed.learn
	// withSlowness is the share of reports with slowness.
	withSlowness average
	// active is set while requests of the pool are placed by expected completion.
	active bool
	list   listVersion
}

// means returns the means that the estimates use.
func (p *poolState) means(now time.Time) PoolMeans {
	return PoolMeans{
		FirstRatio:   math.Exp(p.firstRatio.mean(now, poolHalfLife, 0, initialWeight)),
		Slowness:     p.slowness.mean(now, poolHalfLife, usualSlowness, initialWeight),
		Utilisation:  p.utilisation.mean(now, poolHalfLife, initialUtilisation, initialWeight),
		PromptTokens: p.promptTokens.mean(now, poolHalfLife, initialPromptTokens, initialWeight),
		OutputTokens: p.outputTokens.mean(now, poolHalfLife, initialOutputTokens, initialWeight),
	}
}
