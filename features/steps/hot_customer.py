"""Count the tokens that a customer requests and that meters grant."""

from baobabwharf_core.fleet_config import Customer
from baobabwharf_decisions.limits.shared_meter import SharedMeter

MEAN_TOKENS = 5000
_WINDOW_MS = 8000
_OVERAGE = 1.1


class OverloadingCustomer:
    """Send a customer's requests to meters and count the outcomes.

    In some scenarios it requests more than its rate.
    """

    def __init__(self, rate: int) -> None:
        self.customer = Customer('hot', rate, rate)
        self.granted: list[tuple[int, int]] = []
        self.requested = 0
        self.refused = 0

    def ask(self, meter: SharedMeter, tokens: int, now_ms: int) -> None:
        """Request tokens from the meter of a VM and count the result."""
        self.requested += 1
        if meter.spend('hot', tokens, now_ms).is_ok():
            self.granted.append((now_ms, tokens))
        else:
            self.refused += 1

    def check_windows(self, slack: int) -> None:
        """Fail if a window holds more than cap and slack, or too little."""
        entitled = self.customer.rate_tokens_per_s * _WINDOW_MS // 1000
        bound = (entitled + self.customer.burst_tokens) * _OVERAGE + slack
        most = self._most_in_window()
        assert most <= bound, (most, bound)
        assert most >= entitled // 2, 'The fleet grants too little to test.'

    def check_refused(self, most: int) -> None:
        """Fail if more than so many in 100 were refused."""
        assert self.refused * 100 <= self.requested * most, (
            self.refused,
            self.requested,
        )

    def _most_in_window(self) -> int:
        most = total = first = 0
        for at_ms, tokens in self.granted:
            total += tokens
            while self.granted[first][0] <= at_ms - _WINDOW_MS:
                total -= self.granted[first][1]
                first += 1
            most = max(most, total)
        return most
