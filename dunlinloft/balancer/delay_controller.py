"""Round Trip Delay Control: retries and first attempts bounded by the measured delay.

Hong, Huang and Yan, "Applying Control Theoretic Approach To Mitigate SIP Overload", section V.B; equation
numbers refer to it. `docs/design.md` says what is kept, changed and why.
"""

from __future__ import annotations

import math

from dunlinloft.balancer.averages import DecayingRate

# tau0, the target round trip delay, as a share of the latency target of what was answered. By Little's law
# it sets the window of first attempts too: a smaller one rejects what meets the target.
TARGET_SHARE = 0.4
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when the answer rate leaves this band around its tuned value
AVERAGING_MS = 5_000.0  # time constant of the measured rates and delay
SAMPLES = 20.0  # answers that the delay is averaged over
MIN_SAMPLES = 4.0  # fewer show their error in part, as one may be chance
SHED_SHARE_MAX = 0.8  # of first attempts may be shed for delay: the rest keeps the measurement going
INITIAL_CALLS_PER_SERVER = 4.0  # the window of a replica that has measured for less than a second
ADDED_CALLS_PER_SERVER = 2.0  # to the window by server of this replica, so that replicas' windows grow alike
# While the loop allows retries the window opens to this many calls at least, as few calls bunch, and by so
# many standard deviations of what is in flight by chance (its square root).
OPEN_WINDOW_MIN_CALLS = 3.0
OPEN_WINDOW_DEVIATIONS = 1.0


class DelayController:
    """The PI loop that holds the delay under its target.

    It bounds the rate of retries (`retry_probability`), the number of first attempts in flight (`window`),
    and says which share of them to shed (`shed_share`). Owned by `Balancer` for a tier and by the router for
    each service.

    Attributes
    ----------
    answer_rate, failure_rate
        nu1 and the failures, both a second.
    busy_answer_rate
        The answer rate without the times in which nothing was in flight.
    tuned_rate
        nu10, the answer rate that the gains are tuned to.
    integral
        KI times the integral of the error, as a rate.
    allowed_rate
        r, the rate of retries allowed.
    target_share
        tau0 over the latency target: more than `TARGET_SHARE` where the tier's own delay is close to that.
    retry_share
        Of the retries that this loop would allow, the share that all replicas together allow.
    """

    def __init__(self) -> None:
        self._kp = math.sin(PHASE_MARGIN)  # equations 40 and 41, over nu1
        self._ki = math.cos(PHASE_MARGIN)
        self.answer_rate = DecayingRate(AVERAGING_MS)
        self.failure_rate = DecayingRate(AVERAGING_MS)
        self.busy_answer_rate = DecayingRate(AVERAGING_MS)
        # Sums over the last samples: of the error, its square, the latency target, and their number.
        self._error_sum_s = 0.0
        self._error_square_sum = 0.0
        self._latency_target_sum_s = 0.0
        self._samples = 0.0
        self._sampled_ms = math.inf  # when the last sample was taken
        self.tuned_rate = 0.0
        self.integral = 0.0
        self.allowed_rate = 0.0
        self.target_share = TARGET_SHARE
        self.retry_share = 1.0
        self._shed_integral = 0.0  # the integral for first attempts, over nu1
        self._shed_share = 0.0

    def record_answer(self, delay_ms: float, latency_target_ms: float, now_ms: float, served: bool) -> None:
        """Take a delay sample and set r = KP e + KI * integral of e, clamped together with its integral.

        Parameters
        ----------
        delay_ms
            Of the answer; for a time-out its length, for a rejection the latency target.
        latency_target_ms
            Of the class of the request.
        served
            Whether the answer counts in the answer rate.
        """
        # The loop keeps its own clock: the window reads the rates too, and an integral over the rates' clock
        # ran on the time that the window had left.
        decay = math.exp(min(0.0, self._sampled_ms - now_ms) / AVERAGING_MS)
        passed_s = max(0.0, min(now_ms - self._sampled_ms, AVERAGING_MS)) / 1000.0
        self._sampled_ms = now_ms
        self.answer_rate.count(served, now_ms)
        self.busy_answer_rate.count(served, now_ms)
        self.failure_rate.count(0.0, now_ms)  # lets its clock run
        self._add_sample(delay_ms, latency_target_ms, decay)
        self._retune()
        error_s = self._error_sum_s / max(self._samples, MIN_SAMPLES)  # tau0 - tau2
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * passed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        self._set_shed_share(error_s, passed_s, decay)

    def _add_sample(self, delay_ms: float, latency_target_ms: float, decay: float) -> None:
        # Old samples fade with time too: a replica that sheds gets few new ones, and would go on shedding
        # for the old.
        retained = min(1.0 - 1.0 / SAMPLES, decay)
        self._samples = self._samples * retained + 1.0
        self._latency_target_sum_s = self._latency_target_sum_s * retained + latency_target_ms / 1000.0
        error_s = (self.target_share * latency_target_ms - delay_ms) / 1000.0
        self._error_sum_s = self._error_sum_s * retained + error_s
        self._error_square_sum = self._error_square_sum * retained + error_s**2

    def _retune(self) -> None:
        """Tune the gains to the answer rate where it has left the band around the rate they are tuned to."""
        rate = self.answer_rate.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A replica starts with its retries open; later a retune keeps the share of retries allowed.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate

    def _set_shed_share(self, error_s: float, passed_s: float, decay: float) -> None:
        """Equation 49: while the delay stays over the target, the same loop takes from first attempts too.

        An error of the mean delay that a few answers may show by chance is not shed for: as the integral is
        never negative, chance would add up in it.
        """
        variance = max(0.0, self._error_square_sum / self._samples - (self._error_sum_s / self._samples) ** 2)
        error_s += math.sqrt(variance / max(1.0, self.answer_rate.events))
        integral = self._shed_integral * decay - self._ki * error_s * passed_s
        self._shed_integral = min(max(integral, 0.0), SHED_SHARE_MAX)
        self._shed_share = min(max(self._shed_integral - self._kp * error_s, 0.0), SHED_SHARE_MAX)

    def shed_share(self, now_ms: float) -> float:
        """The share of first attempts to shed; it decays, as a replica that sheds all sees no answers."""
        return self._shed_share * math.exp(min(0.0, self._sampled_ms - now_ms) / AVERAGING_MS)

    def window(self, servers: float, now_ms: float) -> float:
        """How many calls may be in flight from a replica whose share of the fleet is this many servers.

        Little's law over the answer rate at the target delay, with calls added by server: without these it
        would spiral down where the normal delay is over the target (i35d8eb).
        """
        if self.answer_rate.span_s < 1.0:  # sulcast-later overload: unbounded at first, a tier choked at 2 s
            return INITIAL_CALLS_PER_SERVER * servers + self.answer_rate.events
        self.answer_rate.count(0.0, now_ms)
        self.busy_answer_rate.count(0.0, now_ms)
        at_target = (
            self.busy_answer_rate.per_s() * self.target_share * self._latency_target_sum_s / self._samples
        )
        usual = ADDED_CALLS_PER_SERVER * servers + at_target
        bunched = max(OPEN_WINDOW_MIN_CALLS, usual + OPEN_WINDOW_DEVIATIONS * math.sqrt(usual))
        return usual + max(0.0, bunched - usual) * self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now_ms: float) -> float:
        """Count a failure; its retry's probability is the allowed rate over the measured failure rate."""
        self.failure_rate.count(1.0, now_ms)
        if not self.tuned_rate:
            return self.retry_share
        allowed = min(self.allowed_rate, self.retry_share * self.tuned_rate)
        return min(1.0, allowed / self.failure_rate.per_s())
