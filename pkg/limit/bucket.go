package limit

import "math"

// Bucket is a token bucket that bounds extra attempts to a share of the first
// attempts: first attempts deposit fractions of a token and extra attempts take
// whole ones. The number of takes never exceeds start + share x deposits.
type Bucket struct {
	perDeposit int64 // in 1/tokenUnits of a token, as are the others
	tokens     int64
	burst      int64
}

// NewBucket returns a bucket that gains percent/100 tokens per deposit, stores
// at most burst tokens and starts with start tokens.
func NewBucket(percent float64, burst, start int) *Bucket {
	b := &Bucket{
		burst:  int64(burst) * tokenUnits,
		tokens: int64(min(start, burst)) * tokenUnits,
	}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the tokens per later deposit to percent/100. Zero also
// empties the bucket.
func (b *Bucket) SetPercent(percent float64) {
	b.perDeposit = int64(math.Floor(percent * tokenUnits / 100))
	if b.perDeposit <= 0 {
		b.perDeposit, b.tokens = 0, 0
	}
}

// Deposit adds the tokens for one first attempt, up to the burst.
func (b *Bucket) Deposit() { b.tokens = min(b.burst, b.tokens+b.perDeposit) }

// Millionths returns the stored tokens, in millionths of a token.
func (b *Bucket) Millionths() int64 { return b.tokens }

// CanTake reports whether a token can be taken with at least reserve tokens
// left afterwards.
func (b *Bucket) CanTake(reserve int) bool { return b.tokens >= int64(reserve+1)*tokenUnits }

// Take removes one token for an extra attempt. It reports false, and changes
// nothing, if there is none.
func (b *Bucket) Take() bool {
	if !b.CanTake(0) {
		return false
	}
	b.tokens -= tokenUnits
	return true
}
