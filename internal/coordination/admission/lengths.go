package admission

import "math/bits"

// lengthHistogram predicts how many tokens an answer still gets. It counts
// finished answers by length in buckets that are half a power of two wide. All
// counts are halved when their sum reaches lengthDecayCount, so that old answers
// lose weight.
type lengthHistogram struct {
	counts [lengthBuckets]uint32
	total  uint32
}

const (
	lengthBuckets = 48
	// lengthDecayCount is the number of counted answers at which all counts are
	// halved.
	lengthDecayCount = 512
	// minLengthSamples is the number of answers required for a prediction.
	minLengthSamples = 8
	// defaultRemaining is the prediction before that.
	defaultRemaining = 256
	// The quantile of the remaining lengths that is reserved: a higher one wastes
	// memory, a lower one preempts more.
	quantileNumerator, quantileDenominator = 7, 10
)

// lengthBucket returns the index for a length. There are two buckets for each
// power of two.
func lengthBucket(n uint64) int {
	if n < 2 {
		return int(n)
	}
	top := bits.Len64(n) - 1
	half := int(n>>(top-1)) & 1
	return min(2*top+half, lengthBuckets-1)
}

// lengthBucketEnd returns the largest length of a bucket.
func lengthBucketEnd(i int) uint64 {
	if i < 2 {
		return uint64(i)
	}
	top, half := i/2, uint64(i%2)
	return (2+half+1)<<(top-1) - 1
}

func (l *lengthHistogram) add(n uint64) {
	l.counts[lengthBucket(n)]++
	l.total++
	if l.total < lengthDecayCount {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// predict returns how many tokens an answer with n tokens still gets, at the
// quantile of the answers that were at least that long.
func (l *lengthHistogram) predict(n uint64) uint64 {
	if l.total < minLengthSamples {
		return defaultRemaining
	}
	first := lengthBucket(n)
	var longer uint32
	for _, c := range l.counts[first:] {
		longer += c
	}
	if longer == 0 {
		return minGrowth
	}
	need, sum := (longer*quantileNumerator+quantileDenominator-1)/quantileDenominator, uint32(0)
	for i := first; i < lengthBuckets; i++ {
		if sum += l.counts[i]; sum >= need {
			end := lengthBucketEnd(i)
			return end - min(end, n)
		}
	}
	return minGrowth
}
