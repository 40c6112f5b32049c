"""Workers that operators have taken out of service, independent of what discovery reports.

Maintenance is keyed by the worker's id: it outlives discovery lists, addresses, restarts, and the process that received
the call (it is part of the handoff). It is a state and not a count: a second call to take a worker out changes nothing,
and one call to bring it back ends it.

Discovery updates pass through `Maintenance.apply_update`, which marks workers in maintenance as draining. A worker
that was brought back is assumed to have started at that call, so it gets a slow start even if discovery does not report
the restart yet. A start time after the beginning of the maintenance that discovery reports replaces the assumed one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from micagate import interface


class Maintenance:
    """The workers in maintenance, and the list of workers as discovery reported it."""

    def __init__(self) -> None:
        self.entries: dict[str, interface.WorkerEntry] = {}  # as discovery reported it, without removed workers
        self.out_since: dict[str, float] = {}  # start of the maintenance, seconds on the caller's clock
        self.service_gaps: dict[str, tuple[float, float]] = {}  # workers brought back: start and end of the maintenance

    def apply_update(self, update: interface.WorkerList) -> interface.WorkerList:
        """Record a discovery update and return it with maintenance applied."""
        if update.failed:
            return update
        if update.whole:
            self.entries.clear()
            listed = {entry.worker for entry in update.entries}
            self.service_gaps = {name: times for name, times in self.service_gaps.items() if name in listed}
        for entry in update.entries:
            if entry.state == interface.REMOVED:
                self.entries.pop(entry.worker, None)
                self.service_gaps.pop(entry.worker, None)
            else:
                self.entries[entry.worker] = entry
        if not self.out_since and not self.service_gaps:
            return update
        return replace(update, entries=tuple(self._effective_entry(entry) for entry in update.entries))

    def take_out(self, now: float, worker: str, since: float | None = None) -> interface.WorkerList | None:
        """Take a worker out of service; return the resulting update, or None if its id is unknown.

        With `since` another process already knew of the maintenance. The worker is then out from that time on, whether
        or not discovery has listed it yet.
        """
        if worker not in self.entries and worker not in self.out_since and since is None:
            return None
        self.out_since.setdefault(worker, now if since is None else since)
        self.service_gaps.pop(worker, None)
        return self._update_for(worker)

    def bring_back(self, now: float, worker: str, since: float | None = None) -> interface.WorkerList | None:
        """Bring a worker back into service; return the resulting update, or None if its id is unknown."""
        if worker not in self.entries and worker not in self.out_since and since is None:
            return None
        since = self.out_since.pop(worker, None)
        if since is None:
            return interface.WorkerList()  # it was in service, or the call was repeated
        if worker in self.entries:
            self.service_gaps[worker] = since, now
        return self._update_for(worker)

    def restore(
        self,
        out_since: dict[str, float],
        service_gaps: dict[str, tuple[float, float]],
        entries: Iterable[interface.WorkerEntry] = (),
    ) -> interface.WorkerList:
        """Restore the maintenance of another process; return the resulting update of a list received before."""
        self.out_since.update(out_since)
        self.service_gaps.update(service_gaps)
        for entry in entries:
            self.entries.setdefault(entry.worker, entry)
        return interface.WorkerList(tuple(self._effective_entry(entry) for entry in self.entries.values()))

    def _update_for(self, worker: str) -> interface.WorkerList:
        entry = self.entries.get(worker)
        return interface.WorkerList(() if entry is None else (self._effective_entry(entry),))

    def _effective_entry(self, entry: interface.WorkerEntry) -> interface.WorkerEntry:
        """Return the entry with maintenance applied: draining, or started when it was brought back."""
        if entry.worker in self.out_since:
            return replace(entry, state=interface.DRAINING) if entry.state == interface.HEALTHY else entry
        if (times := self.service_gaps.get(entry.worker)) is None or entry.state == interface.REMOVED:
            return entry
        since, back_at = times
        if entry.started is not None and entry.started >= since:
            return entry  # discovery has reported the restart
        return replace(entry, started=back_at)
