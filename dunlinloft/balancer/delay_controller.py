"""Round Trip Delay Control: limits retries and first attempts by the measured delay.

Implements section V.B of Hong, Huang and Yan, "Applying Control Theoretic Approach To Mitigate SIP Overload";
equation numbers refer to that paper. `docs/design.md` names the differences and the reasons for them.
"""

from __future__ import annotations

import math

from dunlinloft.balancer.averages import DecayingRate

# tau0, the target round trip delay, as a share of the latency target of the answered requests. By Little's
# law it also sets the window of first attempts: a lower target rejects calls that would meet their latency
# target.
TARGET_SHARE = 0.4
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when the answer rate leaves this band around the tuned rate
AVERAGING_MS = 5_000.0  # time constant of the measured rates and delay
SAMPLES = 20.0  # number of answers that the delay is averaged over
MIN_SAMPLES = 4.0  # the error is scaled down while there are fewer samples, as single ones may be outliers
SHED_SHARE_MAX = 0.8  # maximum share of first attempts to shed; the rest are needed to measure the delay
INITIAL_CALLS_PER_SERVER = 4.0  # window per server until there are measurements over one second
ADDED_CALLS_PER_SERVER = 2.0  # added to the window per server, so that the windows of all replicas grow alike
# While the controller allows retries, the window leaves room for bursts: it is at least this many calls, and
# larger by this many standard deviations of the number in flight (the square root of its mean).
OPEN_WINDOW_MIN_CALLS = 3.0
OPEN_WINDOW_DEVIATIONS = 1.0


class DelayController:
    """A PI controller that keeps the delay below its target.

    It limits the rate of retries (`retry_probability`) and the number of first attempts in flight (`window`),
    and sets the share of first attempts to shed (`shed_share`). Owned by `Balancer` for a tier and by the
    router for each service.

    Attributes
    ----------
    answer_rate, failure_rate
        Answers (nu1) and failures per second.
    busy_answer_rate
        Answers per second, without the times when nothing was in flight.
    tuned_rate
        nu10, the answer rate that the gains are tuned to.
    integral
        KI times the integral of the error, as a rate.
    allowed_rate
        r, the allowed rate of retries.
    target_share
        tau0 as a share of the latency target; above `TARGET_SHARE` if the tier's usual delay is close to
        that.
    retry_share
        The share of this controller's retries that all replicas together allow.
    """

    def __init__(self) -> None:
        self._kp = math.sin(PHASE_MARGIN)  # equations 40 and 41, over nu1
        self._ki = math.cos(PHASE_MARGIN)
        self.answer_rate = DecayingRate(AVERAGING_MS)
        self.failure_rate = DecayingRate(AVERAGING_MS)
        self.busy_answer_rate = DecayingRate(AVERAGING_MS)
        # Decayed sums over the samples: error, squared error, latency target and number of samples.
        self._error_sum_s = 0.0
        self._error_square_sum = 0.0
        self._latency_target_sum_s = 0.0
        self._samples = 0.0
        self._sampled_ms = math.inf  # time of the last sample
        self.tuned_rate = 0.0
        self.integral = 0.0
        self.allowed_rate = 0.0
        self.target_share = TARGET_SHARE
        self.retry_share = 1.0
        self._shed_integral = 0.0  # the integral for first attempts, as a share of nu1
        self._shed_share = 0.0

    def record_answer(self, delay_ms: float, latency_target_ms: float, now_ms: float, served: bool) -> None:
        """Add a delay sample and set r = KP * e + KI * integral of e; r and the integral are clamped.

        Parameters
        ----------
        delay_ms
            The delay of the answer; for a timeout its duration, for a rejection the latency target.
        latency_target_ms
            Latency target of the request's class.
        served
            Whether the answer counts in the answer rate.
        """
        # The integral has its own timestamp: `window` also updates the rates, so that the time since their
        # last update would be too short.
        decay = math.exp(min(0.0, self._sampled_ms - now_ms) / AVERAGING_MS)
        elapsed_s = max(0.0, min(now_ms - self._sampled_ms, AVERAGING_MS)) / 1000.0
        self._sampled_ms = now_ms
        self.answer_rate.count(served, now_ms)
        self.busy_answer_rate.count(served, now_ms)
        self.failure_rate.count(0.0, now_ms)  # only decays the rate
        self._add_sample(delay_ms, latency_target_ms, decay)
        self._retune()
        error_s = self._error_sum_s / max(self._samples, MIN_SAMPLES)  # tau0 - tau2
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * elapsed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        self._set_shed_share(error_s, elapsed_s, decay)

    def _add_sample(self, delay_ms: float, latency_target_ms: float, decay: float) -> None:
        # Samples decay with time as well: a replica that sheds gets few new ones and would keep shedding
        # because of outdated ones.
        retained = min(1.0 - 1.0 / SAMPLES, decay)
        self._samples = self._samples * retained + 1.0
        self._latency_target_sum_s = self._latency_target_sum_s * retained + latency_target_ms / 1000.0
        error_s = (self.target_share * latency_target_ms - delay_ms) / 1000.0
        self._error_sum_s = self._error_sum_s * retained + error_s
        self._error_square_sum = self._error_square_sum * retained + error_s**2

    def _retune(self) -> None:
        """Tune the gains to the answer rate if it has left the band around the rate they are tuned to."""
        rate = self.answer_rate.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A new replica allows all retries; a later retune keeps the share of retries that is allowed.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate

    def _set_shed_share(self, error_s: float, elapsed_s: float, decay: float) -> None:
        """Set the share of first attempts to shed while the delay is above the target (equation 49).

        An error within the standard error of the mean delay is ignored: as the integral is never negative,
        random errors would accumulate in it.
        """
        variance = max(0.0, self._error_square_sum / self._samples - (self._error_sum_s / self._samples) ** 2)
        error_s += math.sqrt(variance / max(1.0, self.answer_rate.events))
        integral = self._shed_integral * decay - self._ki * error_s * elapsed_s
        self._shed_integral = min(max(integral, 0.0), SHED_SHARE_MAX)
        self._shed_share = min(max(self._shed_integral - self._kp * error_s, 0.0), SHED_SHARE_MAX)

    def shed_share(self, now_ms: float) -> float:
        """Return the share of first attempts to shed.

        It decays over time, as a replica that sheds most calls gets few answers to measure.
        """
        return self._shed_share * math.exp(min(0.0, self._sampled_ms - now_ms) / AVERAGING_MS)

    def window(self, servers: float, now_ms: float) -> float:
        """Return how many calls a replica may have in flight, given its share of the fleet in servers.

        The window follows from the answer rate at the target delay by Little's law, plus a number of calls
        per server. Without these, a window would lower the answer rate, and that the next window, if the
        usual delay is above the target (incident i35d8eb).
        """
        if self.answer_rate.span_s < 1.0:  # an unlimited first window has overloaded a tier within 2 s
            return INITIAL_CALLS_PER_SERVER * servers + self.answer_rate.events
        self.answer_rate.count(0.0, now_ms)
        self.busy_answer_rate.count(0.0, now_ms)
        at_target = (
            self.busy_answer_rate.per_s() * self.target_share * self._latency_target_sum_s / self._samples
        )
        base_window = ADDED_CALLS_PER_SERVER * servers + at_target
        burst_window = max(
            OPEN_WINDOW_MIN_CALLS, base_window + OPEN_WINDOW_DEVIATIONS * math.sqrt(base_window)
        )
        return base_window + max(0.0, burst_window - base_window) * self.allowed_rate / (
            self.tuned_rate or 1.0
        )

    def retry_probability(self, now_ms: float) -> float:
        """Count a failure and return the probability of retrying it: allowed rate over failure rate."""
        self.failure_rate.count(1.0, now_ms)
        if not self.tuned_rate:
            return self.retry_share
        allowed = min(self.allowed_rate, self.retry_share * self.tuned_rate)
        return min(1.0, allowed / self.failure_rate.per_s())
