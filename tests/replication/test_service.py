"""Tests of a single member: a store that cannot be written, and malformed frames."""

from __future__ import annotations

from pathlib import Path

import trio
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fordstair.replication.claim_quorum import ClaimVerdict
from fordstair.replication.messages import (
    ClaimRequest,
    FrameDecoder,
    Hello,
    VoteResponse,
    encode_frame,
)
from fordstair.replication.service import running_service
from fordstair.replication.settings import ReplicationSettings
from fordstair.runtime.message_codec import MalformedMessageError
from fordstair.store.errors import StoreError

FIXED = hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)


def test_a_member_that_cannot_write_grants_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings = ReplicationSettings(
            "c", "m", {"m": "127.0.0.1:1"}, ("127.0.0.1", 0), str(tmp_path / "store")
        )
        async with running_service(settings, 1) as service:
            with trio.fail_after(10.0):
                while service.state.claim_replica.incomplete_reason:
                    await trio.sleep(0.01)
            coordinator = service.claim_coordinator
            result = await coordinator.begin("t|a")
            assert result.verdict is ClaimVerdict.GRANTED
            assert result.claim is not None
            await coordinator.settle(result.claim, b"done")
            repeated = await coordinator.begin("t|a")
            assert repeated.verdict is ClaimVerdict.ALREADY_RUN
            assert repeated.outcome == b"done"

            def failing_write(records: object) -> None:
                raise StoreError("no space left on device")

            service.state.file.write = failing_write  # type: ignore[method-assign]
            assert (await coordinator.begin("t|b")).verdict is ClaimVerdict.REJECTED
            assert service.counts["writes_failed"] >= 1
            # A settled claim is still answered.
            assert (await coordinator.begin("t|a")).verdict is ClaimVerdict.ALREADY_RUN

    trio.run(scenario)


def test_foreign_and_malformed_input_ends_only_its_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings = ReplicationSettings(
            "c", "m", {"m": "127.0.0.1:1", "n": "127.0.0.1:2"}, ("127.0.0.1", 0), str(tmp_path / "store")
        )
        async with running_service(settings, 1) as service:
            for sent in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xff" * 100,
                encode_frame(ClaimRequest(1, "k", "t")),
                encode_frame(Hello(0, "other", "n")),
                encode_frame(Hello(0, "c", "stranger")),
                encode_frame(Hello(0, "c", "n")) + b"\x00\x00\x00\x03\xc1\xc1\xc1",
                encode_frame(Hello(0, "c", "n")) + encode_frame(VoteResponse(1, 0, "", None)),
            ):
                async with await trio.open_tcp_stream("127.0.0.1", service.port) as stream:
                    await stream.send_all(sent)
                    with trio.fail_after(5.0):
                        assert await stream.receive_some(100) == b""
            assert service.counts["malformed"] == 7
            assert service.counts["foreign"] == 2
            async with await trio.open_tcp_stream("127.0.0.1", service.port) as stream:
                await stream.send_all(
                    encode_frame(Hello(0, "c", "n")) + encode_frame(ClaimRequest(7, "k", "t"))
                )
                with trio.fail_after(5.0):
                    (response,) = FrameDecoder().feed(await stream.receive_some(1_000))
                assert isinstance(response, VoteResponse)
                assert response.request_id == 7

    trio.run(scenario)


@FIXED
@given(st.binary(max_size=100), st.integers(1, 30))
def test_decoder_returns_frames_or_raises_malformed(noise: bytes, chunk_size: int) -> None:
    decoder, valid = FrameDecoder(), encode_frame(ClaimRequest(1, "k", "t"))
    data = valid + noise
    frames = []
    try:
        for start in range(0, len(data), chunk_size):
            frames += decoder.feed(data[start : start + chunk_size])
    except MalformedMessageError:
        pass
    assert not frames or frames[0] == ClaimRequest(1, "k", "t")
