"""The stream of snapshots to consoles that follow: collected once for all, and sent to each at its pace."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.runtime.event_log import EventLog
from fordstair.snapshots.collector import SnapshotCollector
from fordstair.snapshots.delta import delta_between, encode
from fordstair.snapshots.publishing import SLOW_FOLLOWER_TIMEOUT_MS, SnapshotSchedule
from fordstair.snapshots.snapshot import Snapshot

log = EventLog(__name__)

READ_BYTES = 4_096
_ACKNOWLEDGEMENT = b"\n"


@dataclass(slots=True, frozen=True)
class EncodedFrame:
    """The encoded difference between two snapshots."""

    old: Snapshot
    new: Snapshot
    data: bytes


class Acknowledgements:
    """Counts the frames that a console has acknowledged, each with a line feed."""

    def __init__(self) -> None:
        self._count = 0
        self._increased = trio.Event()

    def add(self, count: int) -> None:
        """Add acknowledgements, and wake those that wait for them."""
        self._count += count
        self._increased.set()

    async def wait_for(self, count: int) -> None:
        """Wait until ``count`` frames in total have been acknowledged."""
        while self._count < count:
            self._increased = trio.Event()
            await self._increased.wait()


class SnapshotSource:
    """Provides the latest snapshot, collecting a new one when it is due, and its frames."""

    def __init__(self, collector: SnapshotCollector, coordinator: Coordinator) -> None:
        self.collector = collector
        self._deadlines = coordinator.deadlines
        self._schedule = SnapshotSchedule()
        self._changed = True
        self._change_event = trio.Event()
        self._last_frame: EncodedFrame | None = None

    def mark_changed(self) -> None:
        """Record a change; consoles that follow receive it with their next snapshot."""
        if not self._changed:
            self._changed = True
            self._change_event.set()

    def latest(self) -> Snapshot:
        """Return the latest snapshot, collecting a new one if it is due; all consoles share it."""
        now_ms = self._deadlines.clock()
        if self._schedule.due_in_ms(now_ms, self._changed) > 0.0:
            return self.collector.latest
        self._changed = False
        snapshot = self.collector.collect(now_ms)
        self._schedule.record_collection(now_ms, self._deadlines.clock() - now_ms)
        return snapshot

    def frame(self, old: Snapshot, new: Snapshot) -> bytes:
        """Return the frame between two snapshots; consoles that are at the same snapshot share it."""
        last = self._last_frame
        if last is None or last.old is not old or last.new is not new:
            last = EncodedFrame(old, new, encode(delta_between(old, new)) + b"\n")
            self._last_frame = last
        return last.data

    async def wait_for_next(self, sent: Snapshot, sent_ms: float) -> None:
        """Wait until a snapshot newer than ``sent`` is due or has been collected for another console.

        No console gets snapshots more often than the interval of the schedule.
        """
        interval_ms = self._schedule.interval_ms
        while True:
            now_ms = self._deadlines.clock()
            console_wait_ms = sent_ms + interval_ms - now_ms
            wait_ms = self._schedule.due_in_ms(now_ms, self._changed)
            if self.collector.latest.number > sent.number:
                wait_ms = min(wait_ms, console_wait_ms)
            clock_went_back = console_wait_ms > 2.0 * interval_ms
            if clock_went_back or max(wait_ms, console_wait_ms) <= 0.0:
                return
            if self._change_event.is_set():
                self._change_event = trio.Event()
            with self._deadlines.limit(now_ms + max(wait_ms, console_wait_ms)):
                if self._changed:
                    await trio.sleep_forever()
                await self._change_event.wait()


class SnapshotStream:
    """Sends one console a full snapshot and then deltas; changes during a send are merged into one delta."""

    def __init__(self, stream: trio.SocketStream, source: SnapshotSource, coordinator: Coordinator) -> None:
        self._stream = stream
        self._source = source
        self._deadlines = coordinator.deadlines
        self._counters = coordinator.counters
        self._acknowledgements = Acknowledgements()

    async def run(self) -> None:
        """Stream until the console disconnects, or does not acknowledge a frame in time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_frames, nursery.cancel_scope)
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while chunk := await self._stream.receive_some(READ_BYTES):
                    self._acknowledgements.add(chunk.count(_ACKNOWLEDGEMENT))
            # Ends the sending task too: a console that disconnects must not hold a follower's slot.
            nursery.cancel_scope.cancel()

    async def _send_frames(self, stream_scope: trio.CancelScope) -> None:
        """Send frames, each only after the previous one was acknowledged, even if the kernel could buffer it.

        Cancel ``stream_scope`` at the end.
        """
        sent = Snapshot()
        sent_ms = 0.0
        frames = 0
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                snapshot = self._source.latest()
                if snapshot.number > sent.number:
                    frames += 1
                    if not await self._send(self._source.frame(sent, snapshot), frames):
                        break
                    self._counters.add("console.frames")
                    sent = snapshot
                    sent_ms = self._deadlines.clock()
                await self._source.wait_for_next(sent, sent_ms)
        stream_scope.cancel()

    async def _send(self, data: bytes, frames: int) -> bool:
        """Send a frame and wait until ``frames`` in total were acknowledged; return False on timeout."""
        with self._deadlines.limit_for(SLOW_FOLLOWER_TIMEOUT_MS) as limit:
            await self._stream.send_all(data)
            await self._acknowledgements.wait_for(frames)
        if limit.cancelled_caught:
            self._counters.add("console.write_stalled")
            log.warning("console.write_stalled", after_ms=SLOW_FOLLOWER_TIMEOUT_MS)
        return not limit.cancelled_caught
