"""Handles members' requests; a response is sent only once the change behind it is on disk."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from fordstair.replication.claim_entry import ClaimEntry
from fordstair.replication.claim_quorum import VoteStatus
from fordstair.replication.messages import (
    PAGE_BYTES,
    ClaimDigestsRequest,
    ClaimPageRequest,
    ClaimPageResponse,
    ClaimRequest,
    DigestsResponse,
    EngineSetRequest,
    EngineSetResponse,
    Frame,
    RegisterDigestsRequest,
    RegisterPageRequest,
    RegisterPageResponse,
    ReleaseRequest,
    Response,
    SettleRequest,
    VoteResponse,
    WrittenResponse,
)
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.stored_records import CLAIM_KIND, claim_record, deletion
from fordstair.runtime.message_codec import MalformedMessageError
from fordstair.store.errors import StoreError
from fordstair.store.writer import CommitBatch


@dataclass(frozen=True, slots=True)
class PendingResponse:
    """A response that waits for a commit.

    Attributes:
        response: The response once the commit is on disk.
        on_write_failure: The response if the commit fails; None for a request that writes nothing.
        commit: The commit, None if nothing has to be written, or the error if it could not be queued.
    """

    response: Response
    on_write_failure: Response | None = None
    commit: CommitBatch | None | StoreError = None

    async def when_written(self, counts: Counter[str]) -> Response:
        """Wait for the commit and return the response for its result."""
        try:
            if isinstance(self.commit, StoreError):
                raise self.commit
            if self.commit is not None:
                await self.commit.written()
        except StoreError:
            counts["writes_failed"] += 1
            assert self.on_write_failure is not None
            return self.on_write_failure
        return self.response


class RequestHandler:
    """Applies requests to the state in memory and queues the records to write.

    It must be called in the order in which the requests are received. It queues their records without
    waiting, so that a release never overtakes its claim, in memory or on disk.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def handle(self, member: str, frame: Frame) -> PendingResponse:
        """Handle a member's request; raise MalformedMessageError if the frame is not a request."""
        match frame:
            case ClaimRequest():
                return self._claim(frame)
            case ReleaseRequest():
                return self._release(frame)
            case SettleRequest():
                return self._settle(frame)
            case ClaimDigestsRequest():
                return self._claim_digests(member, frame)
            case ClaimPageRequest():
                return self._claim_page(frame)
            case RegisterDigestsRequest():
                return self._register_digests(frame)
            case RegisterPageRequest():
                return self._register_page(frame)
            case EngineSetRequest():
                return self._engine_set(frame)
        raise MalformedMessageError(f"{type(frame).__name__} frame where a request is expected")

    def _claim(self, request: ClaimRequest) -> PendingResponse:
        vote, entry = self._state.claim_replica.claim(self._state.now_ms(), request.key, request.token)
        voted = VoteResponse(request.request_id, vote.status.value, vote.token, vote.outcome)
        # After a failed write the grant may be on disk nevertheless: the key stays granted, without a vote.
        failed = VoteResponse(request.request_id, VoteStatus.UNAVAILABLE.value, "", None)
        return self._when_entry_written(voted, failed, request.key, entry)

    def _release(self, request: ReleaseRequest) -> PendingResponse:
        released = self._state.claim_replica.release(request.key, request.token)
        records = [deletion(CLAIM_KIND, request.key)] if released else []
        return PendingResponse(
            WrittenResponse(request.request_id, True),
            WrittenResponse(request.request_id, False),
            self._state.add_records(records),
        )

    def _settle(self, request: SettleRequest) -> PendingResponse:
        entry = self._state.claim_replica.settle(
            self._state.now_ms(), request.key, request.token, request.outcome
        )
        return self._when_entry_written(
            WrittenResponse(request.request_id, True),
            WrittenResponse(request.request_id, False),
            request.key,
            entry,
        )

    def _claim_digests(self, member: str, request: ClaimDigestsRequest) -> PendingResponse:
        self._state.claim_replica.expire(self._state.now_ms())
        return PendingResponse(
            DigestsResponse(request.request_id, list(self._state.claim_replica.digests[member]))
        )

    def _claim_page(self, request: ClaimPageRequest) -> PendingResponse:
        page = self._state.claim_replica.page(
            request.range_number,
            request.after_key,
            PAGE_BYTES,
            include_unsettled=request.include_unsettled,
        )
        return PendingResponse(
            ClaimPageResponse(
                request.request_id,
                page.items,
                page.more,
                incomplete=bool(self._state.claim_replica.incomplete_reason),
                new_store=self._state.is_new_store,
            )
        )

    def _register_digests(self, request: RegisterDigestsRequest) -> PendingResponse:
        self._state.register_map.expire(self._state.now_ms())
        return PendingResponse(DigestsResponse(request.request_id, list(self._state.register_map.digests)))

    def _register_page(self, request: RegisterPageRequest) -> PendingResponse:
        page = self._state.register_map.page(request.range_number, request.after_key, PAGE_BYTES)
        return PendingResponse(RegisterPageResponse(request.request_id, page.items, page.more))

    def _engine_set(self, request: EngineSetRequest) -> PendingResponse:
        engines = self._state.engine_set
        state = engines.state if request.digest != engines.digest else None
        return PendingResponse(EngineSetResponse(request.request_id, state, engines.registry_contact_ms))

    def _when_entry_written(
        self, written: Response, failed: Response, key: str, entry: ClaimEntry | None
    ) -> PendingResponse:
        records = [claim_record(key, entry)] if entry is not None else []
        return PendingResponse(written, failed, self._state.add_records(records))
