"""Estimates of a customer's quota over all gateways, from delayed meter readings and this gateway's own sends.

The meter adds up each customer's use over fixed periods and publishes the use of the last completed period. The
period is configured; its phase and the publication delay (the lateness) are not. Both are inferred:

- A reading that differs from the previous one was published between the two reads. The readings of many customers
  together show at which point in the period publication happens.
- The use in a period is never less than what this gateway itself sent in it. A candidate lateness that contradicts
  this is wrong; with enough readings only the true one remains.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterator, Sequence

PHASE_BIN_COUNT = 32  # intervals into which a period is divided to locate its phase
LATENESS_CANDIDATE_COUNT = 32  # candidate publication delays that are compared
# Distance between two candidates as a fraction of the period, and the longest candidate in seconds.
LATENESS_STEP_RATIO, MAX_LATENESS_SECONDS = 1 / 8, 3.2
READING_ROUNDING_ERROR = 0.006  # as a fraction of the rate; readings are rounded to whole percents
NEAR_BEST_TOLERANCE = 0.2  # fraction of the distance from the lowest misfit to the mean that still counts as lowest
MAX_BEST_MISFIT_RATIO = 0.3  # highest misfit of the best candidate, as a fraction of the mean
MIN_INFORMATIVE_READINGS = 6  # readings of periods with own sends that are required before a lateness is accepted
# Time constant of the rate of own sends, and the weight of the usual rate against it, both in seconds.
OWN_RATE_DECAY_SECONDS, USUAL_RATE_WEIGHT_SECONDS = 1.0, 0.5
# Time constants over which a customer's metered rate and its usual rate are averaged.
RATE_DECAY_SECONDS, USUAL_RATE_DECAY_SECONDS = 3.0, 20.0
# Time constant with which the usual rate returns to its initial value while a thin share gets no readings.
THIN_SHARE_DECAY_SECONDS = 6.0
# Use that is assumed before any reading, as a fraction of the quota, and for how many seconds of use it counts.
INITIAL_USE_RATIO, INITIAL_USE_SECONDS = 0.5, 2.0
SHARE_DECAY_SECONDS = 8.0  # time constant over which a gateway's share of the metered use is averaged
# Weight of the past rate, in mean attempt durations, in the estimate of attempts in flight.
IN_FLIGHT_PRIOR_WEIGHT = 0.4
MAX_DEVIATION_RATIO = 0.29  # standard deviation of an unknown level (uniformly distributed), relative to the burst
# Requests left in the token bucket below which the other gateways are assumed to send no more than their share.
LOW_LEVEL_REQUESTS = 3.0
# Gateways up to which that holds in full; with more, each having a thin share, they know too little to hold back.
LOW_LEVEL_GATEWAY_COUNT = 4.0
# A share of less than so many requests is thin: it holds too little to decide by. It never is among few gateways.
THIN_SHARE_REQUESTS, MAX_GATEWAYS_FOR_FULL_SHARE = 2.0, 3
MAX_READING_AGE_SECONDS = 8.0  # age in seconds at which a reading no longer says anything about the current level
ASSUMED_LATENESS_SECONDS = 0.8  # used for a thin share while the lateness is unknown
MEAN_UNITS_LEARNING_RATE = 0.1  # weight of a new request in the moving averages per request
OTHERS_RELATIVE_DEVIATION = 0.5  # standard deviation of the others' expected use relative to it, beside Poisson noise
WEIGH_EVERY_NTH_READING = 4  # once the lateness is known, only one of so many readings is used to refine it
# Standard deviations of a normal distribution by confidence, in steps of 1/20.
# Written out, as the library that computes them takes memory in every process.
CONFIDENCE_DEVIATIONS = (
    -1.6448536269514726,
    -1.6448536269514726,
    -1.2815515655446008,
    -1.0364333894937894,
    -0.8416212335729142,
    -0.6744897501960817,
    -0.5244005127080407,
    -0.3853204664075676,
    -0.2533471031357998,
    -0.125661346855074,
    0.0,
    0.12566134685507413,
    0.2533471031357998,
    0.3853204664075676,
    0.5244005127080407,
    0.6744897501960817,
    0.8416212335729144,
    1.0364333894937894,
    1.2815515655446008,
    1.6448536269514715,
    1.6448536269514715,
)


class Meter:
    """Phase and lateness of the meter as far as one gateway has inferred them.

    `period` is the meter's period in seconds. With 0 there is no meter, and nothing is ever inferred.
    """

    def __init__(self, period: float) -> None:
        self.period = period
        # By interval of the period: changes that were not published in it.
        self._phase_misfits = [0.0] * PHASE_BIN_COUNT
        self._phase: float | None = None
        self._lateness_step = min(period * LATENESS_STEP_RATIO, MAX_LATENESS_SECONDS / LATENESS_CANDIDATE_COUNT)
        self._lateness_misfits = [0.0] * LATENESS_CANDIDATE_COUNT
        self._weighed_count = self._skipped_count = 0
        self.lateness: float | None = None  # seconds from the end of a period to its publication; None: unknown

    def record_change(self, previous_read_at: float, read_at: float) -> None:
        """Narrow down the phase: a reading changed between two reads, so it was published between them.

        Reads about a period or more apart carry no information. Old evidence decays, so that a meter that restarts
        with another phase is followed after about a hundred readings.
        """
        width, size = read_at - previous_read_at, self.period / PHASE_BIN_COUNT
        if not 0 < width < self.period - 2 * size:
            return
        first = int(previous_read_at / size)
        count = int(read_at / size) - first + 1
        self._phase_misfits = [
            0.99 * misfit + ((interval - first) % PHASE_BIN_COUNT >= count)
            for interval, misfit in enumerate(self._phase_misfits)
        ]
        cluster = _best_cluster(self._phase_misfits, PHASE_BIN_COUNT // 6)
        self._phase = None if cluster is None else (cluster[-1] + 1) * size

    def is_known(self) -> bool:
        """Return whether phase and lateness are both known."""
        return self.lateness is not None and self._phase is not None

    def published_at(self, now: float) -> float | None:
        """Return when the reading visible at `now` was published; None while the phase is unknown."""
        return None if self._phase is None else now - (now - self._phase) % self.period

    def period_end(self, now: float) -> float | None:
        """Return the end of the period that a reading taken at `now` covers; None while that is unknown."""
        published_at = self.published_at(now)
        return None if published_at is None or self.lateness is None else published_at - self.lateness

    def weigh_lateness(
        self, now: float, used: float, rate: float, sent_times: Sequence[float], cumulative_units: Sequence[float]
    ) -> None:
        """Compare each candidate lateness with a reading and this gateway's own sends.

        `used` is the reading as a fraction of `rate`. `sent_times` are the ascending times of the own sends, and
        `cumulative_units` holds, at the same indexes, the units sent up to and including each. They have to cover the
        last two periods plus `MAX_LATENESS_SECONDS`.
        """
        if not sent_times or (published_at := self.published_at(now)) is None:
            return
        if self.lateness is not None:
            self._skipped_count += 1
            if self._skipped_count % WEIGH_EVERY_NTH_READING:
                return
        max_used_units = (used + READING_ROUNDING_ERROR) * rate * self.period
        scale = max(rate * self.period, 1.0)
        misfits, informative = [], False
        for candidate in range(LATENESS_CANDIDATE_COUNT):
            end = published_at - candidate * self._lateness_step
            own_units = _units_between(sent_times, cumulative_units, end - self.period, end)
            informative = informative or own_units > 0
            misfits.append(min(1.0, max(0.0, own_units - max_used_units) / scale))
        if not informative:
            return
        self._weighed_count += 1
        decay = 1 - 1 / 200 if self._weighed_count > 200 else 1.0
        self._lateness_misfits = [old * decay + new for old, new in zip(self._lateness_misfits, misfits, strict=True)]
        cluster = (
            _best_cluster(self._lateness_misfits, LATENESS_CANDIDATE_COUNT // 4)
            if self._weighed_count >= MIN_INFORMATIVE_READINGS
            else None
        )
        if cluster is not None:
            self.lateness = self._lateness_step * sum(cluster) / len(cluster)


def _units_between(times: Sequence[float], sums: Sequence[float], begin: float, end: float) -> float:
    """Return the units sent after `begin` and up to `end`; `times` and `sums` as for `Meter.weigh_lateness`."""
    count_until_end, count_until_begin = bisect_right(times, end), bisect_right(times, begin)
    return (sums[count_until_end - 1] if count_until_end else 0.0) - (
        sums[count_until_begin - 1] if count_until_begin else 0.0
    )


def _best_cluster(misfits: Sequence[float], max_size: int) -> range | None:
    """Return the one run of adjacent indexes, cyclically, that fit nearly as well as the best.

    Nearly means within `NEAR_BEST_TOLERANCE` of the distance from the lowest misfit to the mean. Returns None if there
    are several runs or more than `max_size` such indexes, or if the best one does not fit well itself: readings that
    are unrelated to the sends contradict all candidates about equally often.
    """
    size, lowest = len(misfits), min(misfits)
    mean = sum(misfits) / size
    if lowest > MAX_BEST_MISFIT_RATIO * mean:
        return None
    bound = lowest + NEAR_BEST_TOLERANCE * (mean - lowest)
    fits = [misfit <= bound for misfit in misfits]
    starts = [n for n in range(size) if fits[n] and not fits[n - 1]]
    if len(starts) != 1 or sum(fits) > max_size:
        return None
    return range(starts[0], starts[0] + sum(fits))


class QuotaEstimate:
    """Estimate of the level of a customer's token bucket over all gateways together.

    Up to the end of the last metered period the level is computed from the meter. Since then it is computed from the
    own sends, which are known, and the expected sends of the other gateways: their metered rate, scaled up or down by
    what this gateway sends now, since a customer that sends more here sends more elsewhere too. (This is a gamma prior
    on the customer's rate, observed through this gateway's share of it.)
    """

    __slots__ = (
        "rate",
        "burst",
        "gateway_count",
        "level",
        "updated_at",
        "metered_until",
        "mean_units",
        "_metered_level",
        "_sent_times",
        "_cumulative_units",
        "_own_recent_units",
        "_recent_units",
        "_recent_seconds",
        "_usual_units",
        "_usual_seconds",
        "_own_metered_units",
        "_metered_units",
        "_last_reading",
        "_last_weighed_at",
        "_slot_granted_ratio",
        "_next_reading_due_at",
    )

    def __init__(self, rate: float, burst: float, gateway_count: int, now: float, level: float) -> None:
        self.rate, self.burst, self.gateway_count = rate, burst, gateway_count
        self.level, self.updated_at = level, now  # the estimated level, and the time it applies to
        self.metered_until: float | None = None  # end of the last metered period that is included; None: none yet
        self.mean_units = 1.0  # average units of a request sent by this gateway
        self._metered_level = level  # the level at `metered_until`
        self._sent_times: list[float] = []  # own sends of the last periods, merged within a bin
        self._cumulative_units: list[float] = []  # units sent up to and including each
        self._own_recent_units = 0.0  # own units, decaying with `OWN_RATE_DECAY_SECONDS`
        # Units sent by all gateways in metered periods and the length of those periods, in seconds. They decay with
        # `RATE_DECAY_SECONDS` and `USUAL_RATE_DECAY_SECONDS`.
        self._recent_units = self._recent_seconds = 0.0
        self._usual_units, self._usual_seconds = INITIAL_USE_RATIO * rate * INITIAL_USE_SECONDS, INITIAL_USE_SECONDS
        self._next_reading_due_at = now  # when the next reading is expected, if this gateway sends anything
        # Own units and those of all gateways in metered periods, decaying.
        self._own_metered_units = self._metered_units = 0.0
        self._last_reading: tuple[float, float] | None = None  # value and time of the last reading
        self._slot_granted_ratio = 1.0  # estimated fraction of the own units sent within the concurrency limit
        self._last_weighed_at = 0.0  # publication time of the last reading passed to the meter

    def share(self) -> float:
        """Return this gateway's share of what all gateways send; an equal share until periods were metered."""
        prior = self.rate or 1.0
        return (self._own_metered_units + prior / self.gateway_count) / (self._metered_units + prior)

    def total_rate(self, own_recent_units: float) -> float:
        """Return the units per second that all gateways are expected to send, given the recent own units."""
        usual_rate = self._usual_units / self._usual_seconds
        return (self._recent_units + usual_rate * USUAL_RATE_WEIGHT_SECONDS + own_recent_units) / (
            self._recent_seconds + USUAL_RATE_WEIGHT_SECONDS + self.share() * OWN_RATE_DECAY_SECONDS
        )

    def others_rate(self, own_recent_units: float | None = None) -> float:
        """Return the units per second that the other gateways are expected to send."""
        return (1 - self.share()) * self.total_rate(
            self._own_recent_units if own_recent_units is None else own_recent_units
        )

    def advance(self, now: float) -> None:
        """Advance the estimate to `now`: the bucket refills, and the other gateways take from it."""
        if (elapsed := now - self.updated_at) <= 0:
            return
        own_decay, recent_decay = (
            math.exp(-elapsed / OWN_RATE_DECAY_SECONDS),
            math.exp(min(0.0, max(self.updated_at, self._next_reading_due_at) - now) / RATE_DECAY_SECONDS),
        )
        self._recent_units, self._recent_seconds = (
            self._recent_units * recent_decay,
            self._recent_seconds * recent_decay,
        )
        if self.has_thin_share():  # a refused customer yields no readings, so old ones would apply forever
            usual_decay = math.exp(-elapsed / THIN_SHARE_DECAY_SECONDS)
            self._usual_units = (
                INITIAL_USE_RATIO * self.rate * INITIAL_USE_SECONDS * (1 - usual_decay)
                + self._usual_units * usual_decay
            )
            self._usual_seconds = INITIAL_USE_SECONDS * (1 - usual_decay) + self._usual_seconds * usual_decay
        others_rate = self.others_rate(self._own_recent_units * (1 - own_decay) * OWN_RATE_DECAY_SECONDS / elapsed)
        self._own_recent_units *= own_decay
        self.level, self.updated_at = self._level_after(self.level, elapsed, others_rate), now

    def record_sent(self, now: float, units: float, resolution: float, slot_probability: float = 1.0) -> None:
        """Record a request that this gateway sends; sends closer than `resolution` seconds are merged.

        `slot_probability` is the chance that the request found a slot under the customer's concurrency limit. A request
        beyond the quota takes nothing from the bucket, so the level never falls below 0.
        """
        self.advance(now)
        self.level = max(0.0, self.level - units * slot_probability)
        self._slot_granted_ratio += MEAN_UNITS_LEARNING_RATE * (slot_probability - self._slot_granted_ratio)
        self._own_recent_units += units
        self.mean_units += MEAN_UNITS_LEARNING_RATE * (units - self.mean_units)
        cumulative = (self._cumulative_units[-1] if self._cumulative_units else 0.0) + units
        if self._sent_times and now - self._sent_times[-1] < resolution:
            self._cumulative_units[-1] = cumulative
        else:
            self._sent_times.append(now)
            self._cumulative_units.append(cumulative)
            # Readings drop old sends; without readings they are dropped here.
            if now - self._sent_times[0] > 2 * (retention := 3 * PHASE_BIN_COUNT * resolution + MAX_LATENESS_SECONDS):
                self._drop_sent_until(now - retention)

    def record_unsent(self, now: float, units: float) -> None:
        """Take back a recorded send that reached no worker completely: its units are still in the bucket."""
        self.advance(now)
        self.level = min(self.burst, self.level + units * self._slot_granted_ratio)
        self._own_recent_units = max(0.0, self._own_recent_units - units)  # they have decayed since
        if self._cumulative_units:
            self._cumulative_units[-1] -= units

    def is_current(self, now: float) -> bool:
        """Return whether the last metered period is recent enough to say anything about the current level."""
        return self.metered_until is not None and now - self.metered_until < MAX_READING_AGE_SECONDS

    def guaranteed_level(self, now: float, confidence: float) -> float:
        """Return the units that the bucket holds at least, with a probability of `confidence`."""
        age = now - (self.updated_at if self.metered_until is None else self.metered_until)
        expected_units = self.others_rate() * max(0.0, age)
        deviation = math.sqrt(expected_units * self.mean_units + (OTHERS_RELATIVE_DEVIATION * expected_units) ** 2)
        return self.level - CONFIDENCE_DEVIATIONS[int(confidence * 20)] * min(
            deviation, MAX_DEVIATION_RATIO * self.burst
        )

    def record_reading(self, now: float, used: float, meter: Meter, age: float = 0.0) -> None:
        """Record a reading of the meter, as a fraction of the rate, and include the period it covers once.

        `age` is how long ago the worker wrote it, in seconds: a response may take seconds to arrive. A reading older
        than the last one is ignored.

        For a thin share a reading counts even while the meter's phase and lateness are unknown, with an assumed
        lateness. Otherwise nothing would ever be learned about a customer that rarely sends here. Trade-off: own sends
        may be attributed to other gateways, or the reverse.
        """
        read_at = now - age
        if self._last_reading is not None and read_at < self._last_reading[1]:
            return
        if self._last_reading is not None and self._last_reading[0] != used:
            meter.record_change(self._last_reading[1], read_at)
        self._last_reading = used, read_at
        if (
            published_at := meter.published_at(read_at)
        ) is not None and published_at > self._last_weighed_at + meter.period / 2:
            self._last_weighed_at = published_at
            meter.weigh_lateness(now, used, self.rate, self._sent_times, self._cumulative_units)
        end, period = meter.period_end(read_at), meter.period
        if end is None and period and self.has_thin_share():
            published_at = read_at - period / 2 if published_at is None else published_at
            end = published_at - ASSUMED_LATENESS_SECONDS
        if (
            published_at is None
            or end is None
            or self.metered_until is not None
            and end <= self.metered_until + period / 2
        ):
            return
        begin, level = end - period, self._metered_level
        own_units = _units_between(self._sent_times, self._cumulative_units, begin, end)
        total_units = max(own_units, used * self.rate * period)
        elapsed = period if self.metered_until is None else end - self.metered_until
        # Periods were missed while nothing was sent.
        if self.metered_until is not None and begin > self.metered_until + period / 2:
            level = self._replay_level(level, self.metered_until, begin, self.others_rate(0.0))
        self._metered_level = self._replay_level(level, begin, end, (total_units - own_units) / period)
        share_decay, usual_decay = (
            math.exp(-period / SHARE_DECAY_SECONDS),
            math.exp(-elapsed / USUAL_RATE_DECAY_SECONDS),
        )
        self._own_metered_units, self._metered_units = (
            self._own_metered_units * share_decay + own_units,
            self._metered_units * share_decay + total_units,
        )
        self._usual_units, self._usual_seconds = (
            self._usual_units * usual_decay + total_units,
            self._usual_seconds * usual_decay + period,
        )
        self._recent_units, self._recent_seconds = (
            self._recent_units * (recent_decay := math.exp(-period / RATE_DECAY_SECONDS)) + total_units,
            self._recent_seconds * recent_decay + period,
        )
        self.metered_until, self._next_reading_due_at = end, published_at + period
        self._drop_sent_until(now - 2 * period - MAX_LATENESS_SECONDS)
        # Recompute from the end of that period to now.
        self._own_recent_units = sum(
            units * math.exp((sent_at - now) / OWN_RATE_DECAY_SECONDS) for sent_at, units in self._sent_between(end)
        )
        self.level, self.updated_at = self._replay_level(self._metered_level, end, now, self.others_rate()), now

    def _level_after(self, level: float, elapsed: float, others_rate: float) -> float:
        """Return the level after `elapsed` seconds in which the others would send `others_rate` units per second.

        The others decide as this gateway does: once little is left they take no more than their share of the refill.
        Without this rule all gateways would wait for each other, and none would get a reading of the meter.
        """
        if elapsed <= 0:
            return level
        low_level, net_rate = LOW_LEVEL_REQUESTS * self.mean_units, self.rate - others_rate * self._slot_granted_ratio
        if net_rate < 0:
            low_level *= (
                LOW_LEVEL_GATEWAY_COUNT / max(LOW_LEVEL_GATEWAY_COUNT, self.gateway_count)
                if self.has_thin_share()
                else 1.0
            )
            if level > low_level and (time_to_low := (level - low_level) / -net_rate) < elapsed:
                level, elapsed = low_level, elapsed - time_to_low
            elif level > low_level:
                return level + net_rate * elapsed
            net_rate = self.rate * self.share()
            return max(level, min(low_level, level + net_rate * elapsed))
        return min(self.burst, level + net_rate * elapsed)

    def has_thin_share(self) -> bool:
        """Return whether so many gateways share the customer that the share of each holds hardly a request."""
        return (
            self.gateway_count > MAX_GATEWAYS_FOR_FULL_SHARE
            and self.burst < THIN_SHARE_REQUESTS * self.mean_units * self.gateway_count
        )

    def slot_probability(self, in_flight: int, mean_duration: float, limit: int) -> float:
        """Return the probability that fewer than `limit` attempts are in flight over all gateways.

        `in_flight` are this gateway's, `mean_duration` is the average time of an attempt in seconds. By Little's law
        what is sent in that time is in flight. This gives a gamma prior, with the weight of `IN_FLIGHT_PRIOR_WEIGHT`
        attempt durations, on how busy the customer is; the attempts in flight here are an observation of it. The number
        in flight at the other gateways then has a negative binomial distribution.
        """
        share = self.share()
        shape = (
            self.total_rate(self._own_recent_units) / self.mean_units * mean_duration * IN_FLIGHT_PRIOR_WEIGHT
            + in_flight
        )
        prior_rate = IN_FLIGHT_PRIOR_WEIGHT + share
        ratio = (1 - share) / (prior_rate + 1 - share)
        term = probability = (1 - ratio) ** shape
        for n in range(1, limit - in_flight):
            term *= ratio * (shape + n - 1) / n
            probability += term
        return probability if in_flight < limit else 0.0

    def _drop_sent_until(self, end: float) -> None:
        """Drop the own sends up to and including `end`."""
        dropped_count = bisect_right(self._sent_times, end)
        dropped_units = self._cumulative_units[dropped_count - 1] if dropped_count else 0.0
        del self._sent_times[:dropped_count], self._cumulative_units[:dropped_count]
        self._cumulative_units = [cumulative - dropped_units for cumulative in self._cumulative_units]

    def _sent_between(self, begin: float, end: float = math.inf) -> Iterator[tuple[float, float]]:
        """Yield time and units of each own send after `begin` and up to `end`."""
        first = bisect_right(self._sent_times, begin)
        previous_cumulative = self._cumulative_units[first - 1] if first else 0.0
        for sent_at, cumulative in zip(self._sent_times[first:], self._cumulative_units[first:], strict=True):
            if sent_at > end:
                return
            yield sent_at, cumulative - previous_cumulative
            previous_cumulative = cumulative

    def _replay_level(self, level: float, begin: float, end: float, others_rate: float) -> float:
        """Return the level at `end`, given that at `begin`, the own sends and the others' units per second."""
        at = begin
        for sent_at, units in self._sent_between(begin, end):
            level, at = (
                max(0.0, self._level_after(level, sent_at - at, others_rate) - units * self._slot_granted_ratio),
                sent_at,
            )
        return self._level_after(level, end - at, others_rate)
