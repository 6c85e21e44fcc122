package limit

import "math"

// Bucket pays for extra attempts with tokens that first attempts put in.
// The number of takes never exceeds start + share x deposits.
type Bucket struct {
	share  int64 // millionths of a token per deposit
	tokens int64 // millionths
	burst  int64 // millionths
}

// NewBucket returns a bucket that gets percent/100 tokens per deposit, holds
// at most burst tokens and starts with the given number.
func NewBucket(percent float64, burst, start int) *Bucket {
	b := &Bucket{
		burst:  int64(burst) * millionths,
		tokens: int64(min(start, burst)) * millionths,
	}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share that later deposits put in. A share of zero
// also takes the tokens that are left.
func (b *Bucket) SetPercent(percent float64) {
	b.share = int64(math.Floor(percent * millionths / 100))
	if b.share <= 0 {
		b.share, b.tokens = 0, 0
	}
}

// Deposit notes one first attempt.
func (b *Bucket) Deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

// Millionths returns the tokens left, in millionths of a token.
func (b *Bucket) Millionths() int64 { return b.tokens }

// Rich reports whether there is a token to take that leaves spare tokens.
func (b *Bucket) Rich(spare int) bool { return b.tokens >= int64(spare+1)*millionths }

// Take pays for one extra attempt and reports whether there was a token.
func (b *Bucket) Take() bool {
	if !b.Rich(0) {
		return false
	}
	b.tokens -= millionths
	return true
}
