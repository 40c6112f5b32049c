"""Workers that operators have taken out, over whatever the list says of them.

A ban belongs to the worker's id: it outlives lists, addresses, restarts and the process that was told of it (it goes
over in a handover). It is a state, not a count: a second call out changes nothing and one call back ends it.

The list is passed through `follow`: a banned worker drains there. One that came back started at the call, as far as
anyone knows, so it is cold even where the list says nothing yet of its restart; what the list tells of a start after
the ban counts from then on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from micagate import interface


class Maintenance:
    """The bans, and the list as it was told."""

    def __init__(self) -> None:
        self.told: dict[str, interface.WorkerEntry] = {}  # the list as it was told, without those that are gone
        self.banned: dict[str, float] = {}  # since when, seconds on the caller's clock
        self.back: dict[str, tuple[float, float]] = {}  # came back: since when it was out, and when it came

    def follow(self, news: interface.WorkerList) -> interface.WorkerList:
        """The list as the choice of workers sees it."""
        if news.failed:
            return news
        if news.whole:
            self.told.clear()
            named = {entry.worker for entry in news.entries}
            self.back = {name: times for name, times in self.back.items() if name in named}
        for entry in news.entries:
            if entry.state == interface.REMOVED:
                self.told.pop(entry.worker, None)
                self.back.pop(entry.worker, None)
            else:
                self.told[entry.worker] = entry
        if not self.banned and not self.back:
            return news
        return replace(news, entries=tuple(self._seen(entry) for entry in news.entries))

    def out(self, now: float, worker: str, since: float | None = None) -> interface.WorkerList | None:
        """Ban a worker; what that changes in the list, or None for an id that nothing is known of.

        With `since` it was known elsewhere, and is banned from then on whether or not the list has it yet.
        """
        if worker not in self.told and worker not in self.banned and since is None:
            return None
        self.banned.setdefault(worker, now if since is None else since)
        self.back.pop(worker, None)
        return self._news(worker)

    def online(self, now: float, worker: str, since: float | None = None) -> interface.WorkerList | None:
        """End a worker's ban; what that changes in the list, or None for an id that nothing is known of."""
        if worker not in self.told and worker not in self.banned and since is None:
            return None
        since = self.banned.pop(worker, None)
        if since is None:
            return interface.WorkerList()  # it was in all along, or the call came twice
        if worker in self.told:
            self.back[worker] = since, now
        return self._news(worker)

    def restore(
        self, banned: dict[str, float], back: dict[str, tuple[float, float]], told: Iterable[interface.WorkerEntry] = ()
    ) -> interface.WorkerList:
        """Take over bans; what they change in a list that was told before."""
        self.banned.update(banned)
        self.back.update(back)
        for entry in told:
            self.told.setdefault(entry.worker, entry)
        return interface.WorkerList(tuple(self._seen(entry) for entry in self.told.values()))

    def _news(self, worker: str) -> interface.WorkerList:
        entry = self.told.get(worker)
        return interface.WorkerList(() if entry is None else (self._seen(entry),))

    def _seen(self, entry: interface.WorkerEntry) -> interface.WorkerEntry:
        if entry.worker in self.banned:
            return replace(entry, state=interface.DRAINING) if entry.state == interface.HEALTHY else entry
        if (times := self.back.get(entry.worker)) is None or entry.state == interface.REMOVED:
            return entry
        since, came = times
        if entry.started is not None and entry.started >= since:
            return entry  # the list knows of the restart
        return replace(entry, started=came)
