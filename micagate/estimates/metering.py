"""When the meter's periods end and how late it tells of them, learned from its readings and the own sends.

A meter adds up each customer's use over whole periods, and tells of the last one that it has finished. Its period
is in the settings, its phase and its lateness are not. Both show:

- a reading that differs from the one before came out between the two looks at it, so that many customers'
  readings vote on the moment in a period at which they come out;
- the use over a period is never less than what this gateway itself sent on in it, so that a lateness under which
  it would be cannot be right. With many readings only the true one is left.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from statistics import NormalDist

BINS = 32  # moments of a period that are told apart
GUESSES = 32  # latenesses that are weighed against each other
STEP, LONGEST = 1 / 8, 3.2  # between two of them, of the period; and the longest of them, seconds
ROUNDED = 0.006  # of the rate: readings are rounded to whole percents
NEARLY = 0.2  # of how far the mean is above the least: what still counts as it
WELL = 0.3  # of the mean: the most that the best may be ruled out
FIRM = 6  # readings that had something of the own sends in them, before a lateness is believed
FRESH, PAST = 1.0, 0.5  # seconds of own sends that tell of a customer's rate now, and what the past weighs
STEADY, USUAL = 3.0, 20.0  # seconds over which its rate, and its usual rate, are averaged
RUMOUR = 6.0  # seconds in which the latter is forgotten where nothing more is heard and the part is a sliver
UNSEEN, FIRST = 0.5, 2.0  # of the quota: the use taken for granted before any reading, for so many seconds
REMEMBER = 8.0  # seconds of metered periods over which a gateway's share is averaged
CROWD = 0.4  # attempts' times that the past weighs in how many are out now
EVEN = 0.29  # of the burst: the deviation of a level of which nothing is known
LITTLE = 3.0  # tries: with no more than that in the store, the others hold back too ...
TELLING = 4.0  # ... as far as so many gateways do; more of them, each with a sliver, know too little to
SLIVER, FEW = 2.0, 3  # requests: a part with less says little by itself, but among so few gateways
STALE = 8.0  # seconds after which a reading tells no more of what a store holds
LATENESS = 0.8  # seconds by which readings are taken to be late where that is not known and must do
UNIT_LEARN = 0.1  # weight of a try in the average units
UNSURE = 0.5  # of what the others are expected to have sent: its deviation beside chance
SAMPLED = 4  # once it is believed, one reading in so many goes on to weigh it
# By twentieths of how sure it must be: so many deviations.
DOUBTS = tuple(NormalDist().inv_cdf(min(0.95, max(0.05, n / 20))) for n in range(21))


class Meter:
    """One gateway's knowledge of when the meter tells of what.

    `period` is the meter's, in seconds; 0 where there is no meter, and then nothing is ever known.
    """

    def __init__(self, period: float) -> None:
        self.period = period
        self._missed = [0.0] * BINS  # by moment of a period: readings that did not come out there
        self._phase: float | None = None
        self._step = min(period * STEP, LONGEST / GUESSES)
        self._misfits = [0.0] * GUESSES
        self._weighed = self._skipped = 0
        self.late: float | None = None  # from the end of a period to its first reading; None: not known yet

    def changed(self, before: float, now: float) -> None:
        """A reading that was looked at before and now has changed in between: it came out there.

        Looks a period apart tell nothing. What was told fades, so that a meter that starts anew with another
        phase is followed after some hundred readings.
        """
        width, size = now - before, self.period / BINS
        if not 0 < width < self.period - 2 * size:
            return
        first = int(before / size)
        count = int(now / size) - first + 1
        self._missed = [
            0.99 * missed + ((moment - first) % BINS >= count) for moment, missed in enumerate(self._missed)
        ]
        near = _near(self._missed, BINS // 6)
        self._phase = None if near is None else (near[-1] + 1) * size

    def known(self) -> bool:
        """Whether phase and lateness are both known."""
        return self.late is not None and self._phase is not None

    def out(self, now: float) -> float | None:
        """When what is read now came out; None while the phase is not known."""
        return None if self._phase is None else now - (now - self._phase) % self.period

    def end(self, now: float) -> float | None:
        """The end of the period that a reading read now tells of; None while that is not known."""
        out = self.out(now)
        return None if out is None or self.late is None else out - self.late

    def weigh(self, now: float, used: float, rate: float, times: Sequence[float], sums: Sequence[float]) -> None:
        """Hold each lateness against a reading and the own sends.

        `times` are those of the own sends, rising; `sums` the units sent up to and with each, in the same
        places. Those that are needed go back by two periods and `LONGEST`.
        """
        if not times or (out := self.out(now)) is None:
            return
        if self.late is not None:
            self._skipped += 1
            if self._skipped % SAMPLED:
                return
        most = (used + ROUNDED) * rate * self.period
        scale = max(rate * self.period, 1.0)
        misfits, told = [], False
        for guess in range(GUESSES):
            end = out - guess * self._step
            own = _between(times, sums, end - self.period, end)
            told = told or own > 0
            misfits.append(min(1.0, max(0.0, own - most) / scale))
        if not told:
            return
        self._weighed += 1
        keep = 1 - 1 / 200 if self._weighed > 200 else 1.0
        self._misfits = [old * keep + new for old, new in zip(self._misfits, misfits, strict=True)]
        near = _near(self._misfits, GUESSES // 4) if self._weighed >= FIRM else None
        if near is not None:
            self.late = self._step * sum(near) / len(near)


def _between(times: Sequence[float], sums: Sequence[float], begin: float, end: float) -> float:
    """Units sent on after `begin` and up to `end`, of sends told as to `Meter.weigh`."""
    upto, since = bisect_right(times, end), bisect_right(times, begin)
    return (sums[upto - 1] if upto else 0.0) - (sums[since - 1] if since else 0.0)


def _near(misfits: Sequence[float], most: int) -> range | None:
    """The places next to each other, counted round, that fit nearly as well as the best; None if not so few.

    Nearly as well: above the least by less than a fifth of what the mean is above it. The best has to fit well
    itself: readings that have nothing to do with what is asked of them rule out each place as often as another.
    """
    size, least = len(misfits), min(misfits)
    mean = sum(misfits) / size
    if least > WELL * mean:
        return None
    bound = least + NEARLY * (mean - least)
    fits = [misfit <= bound for misfit in misfits]
    begins = [n for n in range(size) if fits[n] and not fits[n - 1]]
    if len(begins) != 1 or sum(fits) > most:
        return None
    return range(begins[0], begins[0] + sum(fits))


class QuotaEstimate:
    """What is in a customer's store of units over all gateways together, as far as this one can tell.

    Up to the end of the last metered period it is reckoned from the meter; since then from the own sends, which
    are known, and from those of the other gateways, which are expected: what the meter showed of them before,
    raised or lowered by what this gateway itself sends now, since a customer that asks more here asks more
    elsewhere too (a gamma prior on its rate, seen through this gateway's share of it).
    """

    __slots__ = (
        "rate",
        "burst",
        "spread",
        "level",
        "at",
        "told",
        "unit",
        "_base",
        "_times",
        "_sums",
        "_own",
        "_use",
        "_span",
        "_long",
        "_longer",
        "_mine",
        "_all",
        "_read",
        "_weighed",
        "_kept",
        "_due",
    )

    def __init__(self, rate: float, burst: float, spread: int, now: float, level: float) -> None:
        self.rate, self.burst, self.spread = rate, burst, spread
        self.level, self.at = level, now  # now, at the best guess
        self.told: float | None = None  # the end of the last period that is reckoned in
        self.unit = 1.0  # units of a try sent on here, on average
        self._base = level  # the level when told
        self._times: list[float] = []  # own sends of the last periods, those of a 32nd of a period together
        self._sums: list[float] = []  # units sent up to and with each
        self._own = 0.0  # units sent here lately, fading over `FRESH`
        # Units that all sent on in metered periods and how long those were, fading over `STEADY` and `USUAL`.
        self._use = self._span = 0.0
        self._long, self._longer = UNSEEN * rate * FIRST, FIRST
        self._due = now  # when the next reading should have come, had anything been sent on from here
        self._mine = self._all = 0.0  # units sent here, and everywhere, in metered periods, fading
        self._read: tuple[float, float] | None = None  # the last reading, and when
        self._kept = 1.0  # of the units sent on here, those that were inside its at-once cap, at a guess
        self._weighed = 0.0  # when the last reading came out that was weighed

    def share(self) -> float:
        """This gateway's share of what all send on; its even part until periods were metered."""
        prior = self.rate or 1.0
        return (self._mine + prior / self.spread) / (self._all + prior)

    def total(self, own: float) -> float:
        """Units a second that all gateways are expected to send on now, with so much sent here lately."""
        usual = self._long / self._longer
        return (self._use + usual * PAST + own) / (self._span + PAST + self.share() * FRESH)

    def others(self, own: float | None = None) -> float:
        """Units a second that the other gateways are expected to send on now."""
        return (1 - self.share()) * self.total(self._own if own is None else own)

    def advance(self, now: float) -> None:
        """Let time pass: it fills at its rate, and the others take from it."""
        if (passed := now - self.at) <= 0:
            return
        fade, old = math.exp(-passed / FRESH), math.exp(min(0.0, max(self.at, self._due) - now) / STEADY)
        self._use, self._span = self._use * old, self._span * old
        if self.has_thin_share():  # what was once heard of a customer that then is refused would hold for ever
            past = math.exp(-passed / RUMOUR)
            self._long = UNSEEN * self.rate * FIRST * (1 - past) + self._long * past
            self._longer = FIRST * (1 - past) + self._longer * past
        others = self.others(self._own * (1 - fade) * FRESH / passed)
        self._own *= fade
        self.level, self.at = self._after(self.level, passed, others), now

    def record_sent(self, now: float, units: float, grain: float, open_: float = 1.0) -> None:
        """This gateway sends a try on; `grain` is what sends are told apart by, seconds.

        `open_` is the chance that it found a place under its at-once cap. A try beyond the quota takes nothing
        from the store, so it is never below 0.
        """
        self.advance(now)
        self.level = max(0.0, self.level - units * open_)
        self._kept += UNIT_LEARN * (open_ - self._kept)
        self._own += units
        self.unit += UNIT_LEARN * (units - self.unit)
        whole = (self._sums[-1] if self._sums else 0.0) + units
        if self._times and now - self._times[-1] < grain:
            self._sums[-1] = whole
        else:
            self._times.append(now)
            self._sums.append(whole)
            # Readings let go what is too old; where none come this does.
            if now - self._times[0] > 2 * (keep := 3 * BINS * grain + LONGEST):
                self._drop(now - keep)

    def record_unsent(self, now: float, units: float) -> None:
        """What was told as sent on came whole to no worker: the store has it still."""
        self.advance(now)
        self.level = min(self.burst, self.level + units * self._kept)
        self._own = max(0.0, self._own - units)  # what was counted of them has faded since
        if self._sums:
            self._sums[-1] -= units

    def is_current(self, now: float) -> bool:
        """Whether the meter has told lately enough to say anything of now."""
        return self.told is not None and now - self.told < STALE

    def spare(self, now: float, sure: float) -> float:
        """The units that the store holds at least, with a chance of `sure`, for what the others may have sent."""
        age = now - (self.at if self.told is None else self.told)
        meant = self.others() * max(0.0, age)
        error = math.sqrt(meant * self.unit + (UNSURE * meant) ** 2)
        return self.level - DOUBTS[int(sure * 20)] * min(error, EVEN * self.burst)

    def reading(self, now: float, used: float, meter: Meter, age: float = 0.0) -> None:
        """A reading of the meter, as a share of the rate: reckon in the period that it tells of, once.

        `age` is how long ago it was written: an answer may take seconds to come. One that is older than the last
        tells nothing more.
        Where the part is a sliver, even if the meter's times are not known: then readings are taken to be
        usually late. Guards against a customer that is met so seldom that nothing is ever learned. Harm: a
        period's own sends are taken for others', or the other way round.
        """
        read = now - age
        if self._read is not None and read < self._read[1]:
            return
        if self._read is not None and self._read[0] != used:
            meter.changed(self._read[1], read)
        self._read = used, read
        if (out := meter.out(read)) is not None and out > self._weighed + meter.period / 2:
            self._weighed = out
            meter.weigh(now, used, self.rate, self._times, self._sums)
        end, period = meter.end(read), meter.period
        if end is None and period and self.has_thin_share():
            out = read - period / 2 if out is None else out
            end = out - LATENESS
        if out is None or end is None or self.told is not None and end <= self.told + period / 2:
            return
        begin, level = end - period, self._base
        mine = _between(self._times, self._sums, begin, end)
        total = max(mine, used * self.rate * period)
        passed = period if self.told is None else end - self.told
        if self.told is not None and begin > self.told + period / 2:  # it sent nothing for so long
            level = self._walk(level, self.told, begin, self.others(0.0))
        self._base = self._walk(level, begin, end, (total - mine) / period)
        keep, long = math.exp(-period / REMEMBER), math.exp(-passed / USUAL)
        self._mine, self._all = self._mine * keep + mine, self._all * keep + total
        self._long, self._longer = self._long * long + total, self._longer * long + period
        self._use, self._span = self._use * (old := math.exp(-period / STEADY)) + total, self._span * old + period
        self.told, self._due = end, out + period
        self._drop(now - 2 * period - LONGEST)
        # From there to now anew.
        self._own = sum(units * math.exp((when - now) / FRESH) for when, units in self._since(end))
        self.level, self.at = self._walk(self._base, end, now, self.others()), now

    def _after(self, level: float, passed: float, others: float) -> float:
        """The level after some time in which the others would send on so much a second.

        They judge as this gateway does, so that they take no more than their share of what comes in once there
        is little left. Guards against all of them waiting for each other, with nobody to hear the meter.
        """
        if passed <= 0:
            return level
        low, flow = LITTLE * self.unit, self.rate - others * self._kept
        if flow < 0:
            low *= TELLING / max(TELLING, self.spread) if self.has_thin_share() else 1.0
            if level > low and (until := (level - low) / -flow) < passed:
                level, passed = low, passed - until
            elif level > low:
                return level + flow * passed
            flow = self.rate * self.share()
            return max(level, min(low, level + flow * passed))
        return min(self.burst, level + flow * passed)

    def has_thin_share(self) -> bool:
        """Whether so many gateways share the customer that the part of each holds hardly a request."""
        return self.spread > FEW and self.burst < SLIVER * self.unit * self.spread

    def places(self, out: int, took: float, most: int) -> float:
        """The chance that fewer than `most` attempts are out everywhere, where `out` are here.

        `took` is how long one is out on average: what is sent on in that time is out (Little). That is a gamma
        prior of the weight of `CROWD` attempts' times on how busy the customer is now, and what is out here is
        seen of it; what the others have out then is a negative binomial.
        """
        share = self.share()
        shape = self.total(self._own) / self.unit * took * CROWD + out
        rate = CROWD + share
        ratio = (1 - share) / (rate + 1 - share)
        term = chance = (1 - ratio) ** shape
        for n in range(1, most - out):
            term *= ratio * (shape + n - 1) / n
            chance += term
        return chance if out < most else 0.0

    def _drop(self, before: float) -> None:
        """Forget the own sends up to then."""
        old = bisect_right(self._times, before)
        less = self._sums[old - 1] if old else 0.0
        del self._times[:old], self._sums[:old]
        self._sums = [upto - less for upto in self._sums]

    def _since(self, begin: float, end: float = math.inf) -> Iterator[tuple[float, float]]:
        """The own sends after `begin` and up to `end`: when, and units."""
        first = bisect_right(self._times, begin)
        before = self._sums[first - 1] if first else 0.0
        for when, upto in zip(self._times[first:], self._sums[first:], strict=True):
            if when > end:
                return
            yield when, upto - before
            before = upto

    def _walk(self, level: float, begin: float, end: float, others: float) -> float:
        """The level at `end`, from that at `begin`, with the own sends and so much a second by the others."""
        at = begin
        for when, units in self._since(begin, end):
            level, at = max(0.0, self._after(level, when - at, others) - units * self._kept), when
        return self._after(level, end - at, others)
