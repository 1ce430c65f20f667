"""What is known of the processors: one for each far office, and the own one.  No I/O, no clock.

Times in ns.  Constants given in time constants refer to the one with which evidence of load decays.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from eiderstep import interface as io
from eiderstep.policy.cold_budget import ColdBudget
from eiderstep.policy.decaying_count import DecayingCount

SECOND = 1_000_000_000
SRTT_GAIN, RTTVAR_GAIN, RTO_VARIATION_FACTOR = 1 / 8, 1 / 4, 4.0  # RFC 6298
LOST_ANSWER_RTO_FACTOR = 2  # RFC 6298 timeouts; then an answer is lost if nothing waits at the processor
OWN_WAIT_SAMPLES = 3  # unanswered offices, or last answers, that are evidence of the own processor's wait
PENDING_ALLOWANCE = 2  # unanswered set-ups to one office that are no evidence of a queue yet
ANSWER_HALF_LIFE = 5  # time constants; for the usual rate of an office's answers
MIN_RESEND_SUCCESS = 0.05  # share of the set-ups resent after a fault that must stand to go on resending
BREAKER_TIMEOUTS = 2  # timeouts without an answer between them that open the breaker
BACKOFF_START, BACKOFF_CAP, BACKOFF_JITTER = 1, 4, 0.25  # time constants; jitter: share of the backoff


class Office:
    """One far processor: what the office list, its reports, its answers and missing answers say of it."""

    def __init__(self, entry: io.OfficeEntry, time_constant: float, cold_budget: ColdBudget) -> None:
        self.cold_budget = cold_budget
        self.name, self.number, self.time_constant = entry.office, entry.number, time_constant
        # `full_until`: end of the wait named by a full processor.
        self.state, self.started, self.full_until = entry.state, entry.started, 0
        # Response times (ns): smoothed, variation, shortest, excess of the last one over the shortest.
        # From reports: expected wait (ns), share of the load that the processor asks to be spared.
        self.srtt = self.rttvar = self.min_rtt = self.excess = self.reported_wait = self.reduction = 0.0
        self.max_rate: float | None = None  # set-ups a second, as reported
        self.excess_at = self.reported_at = self.answered_at = self.probed_at = -(10**18)
        self.reports = DecayingCount(ANSWER_HALF_LIFE * time_constant)
        self.report_time_constant = self.excess_time_constant = time_constant
        # Own set-ups since the last report; timeouts since the last answer; circuit breaker.
        self.sent_since_report, self.timeouts, self.breaker_open = 0, 0, False
        self.retry_at = self.cold_retry_at = 0  # when the breaker admits a trial, the cold budget a set-up
        self.backoff = 0.0
        self.trial_call: str | None = None  # the one call that may pass the open breaker
        self.answers = DecayingCount(ANSWER_HALF_LIFE * time_constant)
        # Set-ups sent here again after a fault: those that stood, and all.
        self.resend_successes, self.resends = (
            DecayingCount(ANSWER_HALF_LIFE * time_constant),
            DecayingCount(ANSWER_HALF_LIFE * time_constant),
        )
        self.pending: dict[str, int] = {}  # unanswered set-ups and when they were sent, oldest first

    def record_answer(self, now: int) -> None:
        """The office answered, whatever it said: close the breaker."""
        self.timeouts, self.breaker_open, self.backoff, self.trial_call = 0, False, 0.0, None
        self.answered_at = now

    def record_response_time(self, now: int, response_time: int) -> None:
        """Update the response time of set-ups (RFC 6298) and its excess over the shortest one."""
        if self.srtt == 0.0:
            self.srtt, self.rttvar, self.min_rtt = (
                float(response_time),
                response_time / 2,
                float(response_time),
            )
        self.rttvar += RTTVAR_GAIN * (abs(response_time - self.srtt) - self.rttvar)
        self.srtt += SRTT_GAIN * (response_time - self.srtt)
        self.min_rtt = min(self.min_rtt, response_time)
        self.excess, self.excess_at = response_time - self.min_rtt, now
        self.excess_time_constant = self.answers.mean_interval(now, self.time_constant)

    def record_timeout(self, now: int, rng: Random) -> bool:
        """A set-up was not answered in time.  Returns whether this opened the breaker, not kept it open."""
        self.timeouts += 1
        if self.timeouts < BREAKER_TIMEOUTS and not self.breaker_open:
            return False
        newly_open = not self.breaker_open
        self.backoff = min(
            max(2 * self.backoff, BACKOFF_START * self.time_constant), BACKOFF_CAP * self.time_constant
        )
        self.retry_at = now + int(self.backoff * (1 + BACKOFF_JITTER * rng.random()))
        self.breaker_open, self.trial_call = True, None
        return newly_open

    def apply_report(self, now: int, report: io.LoadReport) -> list[str]:
        """Take over a load report, which may be late and noisy; return the set-ups that it shows to be lost.

        Those are set-ups whose answer is overdue although nothing waits at the processor.  Without this check
        the missing answer would count as a wait, and one lost answer would shed the calls of a pair with
        little traffic for seconds.  It also finds set-ups lost on the way.  The cost: where reports are
        seconds old, set-ups that do wait may be taken for lost.
        """
        wait: float | None = report.wait
        self.max_rate = self.max_rate if report.max_rate is None else report.max_rate
        if wait is None and report.waiting is not None and self.max_rate:
            wait = report.waiting / self.max_rate * SECOND
        self.reduction = self.reduction if report.reduction is None else report.reduction
        if wait is not None or report.reduction is not None:
            self.reported_wait, self.reported_at, self.sent_since_report = wait or 0.0, now, 0
            self.reports.add(now)
            self.report_time_constant = self.reports.mean_interval(now, self.time_constant)
        idle = (wait, report.reduction) != (
            None,
            None,
        ) and self.reported_wait + self.reduction == 0 < self.srtt
        return [name for name, at in self.pending.items() if idle and now - at > self.lost_answer_timeout()]

    def resend_worthwhile(self, now: int) -> bool:
        """Whether a set-up that ended in a fault here should be sent again over the same route.

        Some offices fail most set-ups at random; if such calls were refused, their callers would redial
        after the aim.  Other set-ups fail every time and cost only work when sent again.  The success of
        earlier resends tells the two apart.  The cost: some useless set-ups a second where all fail.
        """
        return (self.resend_successes.read(now) + 1) / (self.resends.read(now) + 2) >= MIN_RESEND_SUCCESS

    def usual_answer_time(self) -> float:
        """Time (ns) within which nearly all set-ups are answered (RFC 6298); 0 before the first answer."""
        return self.srtt + RTO_VARIATION_FACTOR * self.rttvar

    def lost_answer_timeout(self) -> int:
        """Time (ns) after which an answer is lost if nothing waits at the processor."""
        return int(LOST_ANSWER_RTO_FACTOR * self.usual_answer_time())

    def expected_wait(self, now: int, count_pending: bool = True) -> float:
        """Expected wait at the processor (ns) from reports and own evidence; the fresher weighs more."""
        reported = self.reported_wait + (
            self.sent_since_report / self.max_rate * SECOND if self.max_rate else 0.0
        )
        reported *= math.exp(-(now - self.reported_at) / self.time_constant)
        # Reports can be seconds old and do not say how old; a recent answer to a set-up outweighs them.
        staleness = 1.0 - math.exp(-(now - self.excess_at) / self.time_constant)
        return max(reported * staleness, self.observed_wait(now, count_pending))

    def observed_wait(self, now: int, count_pending: bool) -> float:
        """Own evidence of the wait (ns): response times, the age of the oldest unanswered set-up and, if
        asked for, the number of unanswered ones, which shows a burst before any of its answers is due.
        """
        excess = self.excess * math.exp(-(now - self.excess_at) / self.excess_time_constant)
        age = now - next(iter(self.pending.values()), now) - self.min_rtt
        answer_rate = max(self.answers.rate(now), math.log(2) / self.answers.half_life * SECOND)
        return max(
            excess,
            age,
            (len(self.pending) - PENDING_ALLOWANCE) / answer_rate * SECOND if count_pending else 0.0,
        )


class OwnProcessor:
    """The processor of the own exchange.  It sends no reports, and all our set-ups pass it."""

    def __init__(self, time_constant: float) -> None:
        self.down_until, self.time_constant = 0, time_constant
        # Set-ups sent later than any that was answered: time and office number.
        self.unanswered: deque[tuple[int, int]] = deque()
        # Time and wait of the last answers.
        self.recent_waits: deque[tuple[int, float]] = deque([(0, 0.0)], OWN_WAIT_SAMPLES)

    def record_answer(self, sent_at: int) -> None:
        """A set-up sent at that time was answered, so it and all earlier ones passed the own processor."""
        while self.unanswered and self.unanswered[0][0] <= sent_at:
            self.unanswered.popleft()

    def expected_wait(self, now: int) -> float:
        """The wait that all paths have in common (ns), taken for that of the own processor.

        It is the least wait of the last answers or, if longer, an age of set-ups that no answer has
        overtaken: of the oldest set-ups to each office, the third oldest (OWN_WAIT_SAMPLES).  The youngest
        would not do, since an office that was sent to just now has had no time to answer, and with many
        offices there is always one.  Covers queues of incoming traffic, a cut of all links and a hung
        processor as well.  The cost: if the few offices of a small network are all overloaded, the own
        processor is held to be overloaded.
        """
        oldest = dict(reversed([(number, sent) for sent, number in self.unanswered]))  # by office number
        ages = sorted((now - sent for sent in oldest.values()), reverse=True)
        answered = min(wait for _, wait in self.recent_waits) * math.exp(
            -(now - self.recent_waits[-1][0]) / self.time_constant
        )
        return max(answered, ages[OWN_WAIT_SAMPLES - 1] if len(ages) >= OWN_WAIT_SAMPLES else 0.0)
