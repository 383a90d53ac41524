"""Define the units and chunk lifetimes of the limits."""

# Balances are whole micro-tokens, so that sums are exact.
MICRO = 1_000_000
# A rate of one token per second is this many micro-tokens per ms.
MICRO_PER_MS = 1000
# Clocks of VMs run at most 1% fast or slow.
DRIFT_PERCENT = 1
# Refill at 99% keeps a holder whose clock is 1% fast within the rate.
REFILL_PERCENT = 99
CHUNK_LIFETIME_MS = 3000
# Clocks of a slow borrower and a fast lender differ by 1.01 / 0.99; the margin
# of 3% is above that.
LENDER_LIFETIME_MS = CHUNK_LIFETIME_MS * 103 // 100 + 2
