"""A caller gets the complete answer to its own request even if the stream fails."""

import asyncio
import random

import msgspec
import pytest
import pytest_asyncio

from eelgrass_standins.faults import Fault, FaultAction as Action
from eelgrass_standins.samples import sample_deployment
from support.history import History, violations
from support.local import LocalDeployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

GENERATE = "/v1/generate"
STREAM_FAULTS = {
    "cut": Fault(Action.CUT_STREAM, GENERATE, times=1, after=5),
    "cut-at-once": Fault(Action.CUT_STREAM, GENERATE, times=1),
    "cut-twice": Fault(Action.CUT_STREAM, GENERATE, times=2, after=3),
    "cut-three-times": Fault(Action.CUT_STREAM, GENERATE, times=3, after=4),
    "silent": Fault(Action.SILENT_STREAM, GENERATE, times=1, after=5),
    "out-of-order": Fault(Action.SHUFFLE_STREAM, GENERATE, times=2, after=2),
    "piece-lost": Fault(Action.DROP_PIECE, GENERATE, times=1, after=6),
    "crossed": Fault(Action.WRONG_ID, GENERATE, times=1, after=4),
    "refused": Fault(Action.REFUSE, GENERATE, times=2),
    "dropped": Fault(Action.DROP_CALL, GENERATE, times=1),
}
CALL_FAULTS = [
    Fault(Action.DROP_ANSWER, "/v1/run", times=1),
    Fault(Action.WRONG_ID, "/v1/run", times=1),
    Fault(Action.REFUSE, "/v1/run", times=1),
    Fault(Action.SILENT, "/v1/run", times=1),
]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    policy = {"retry_budget_ratio": 1.0, "retry_budget_reserve": 100.0}
    async with LocalDeployment(nodes=2, policy=policy) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def history(deployment):
    recorded = History()
    yield recorded
    for service in ("model-readers", "encoders", "retrievers", "rerankers"):
        deployment.fault(service)
    assert violations(recorded.calls, deployment.journal()) == []


async def text_without_faults(history, deployment):
    reply = await history.call(deployment, 0, "revision-check", "text")
    return reply.body["output"]["text"]


class TestStreams:
    @pytest.mark.parametrize("name", STREAM_FAULTS)
    @pytest.mark.parametrize("stream", [False, True])
    async def test_the_answer_is_complete_after_a_stream_fault(
        self, deployment, history, name, stream
    ):
        expected = await text_without_faults(history, deployment)
        deployment.fault("model-readers", STREAM_FAULTS[name])
        reply = await history.call(
            deployment, 0, "revision-check", "text", stream=stream
        )
        assert reply.status == 200, reply
        answer = reply.body[-1]["answer"] if stream else reply.body
        assert answer["output"]["text"] == expected

    async def test_an_answer_that_stays_incomplete_is_marked(self, deployment, history):
        fault = Fault(Action.CUT_STREAM, GENERATE, after=1)
        deployment.fault("model-readers", fault)
        reply = await history.call(
            deployment, 0, "revision-check", "hopeless", stream=True
        )
        final = reply.body[-1]
        assert final["final"] and not final["complete"]
        assert final["count"] == len(reply.body) - 1
        assert final["problem"]["outcome"] == "no_effect"
        assert final["problem"]["retry_after_ms"] > 0


class TestCrossedAnswers:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_each_caller_gets_its_own(self, deployment, history, seed):
        randomness = random.Random(seed)

        async def call(number):
            await asyncio.sleep(randomness.random() * 0.3)
            pipeline = randomness.choice(["revision-check", "current-issue"])
            stream = pipeline == "revision-check" and randomness.random() < 0.5
            return await history.call(
                deployment, number % 2, pipeline, f"{seed}-{number}", stream=stream
            )

        async def disturb():
            for _ in range(10):
                await asyncio.sleep(0.03)
                fault = randomness.choice(list(STREAM_FAULTS.values()))
                deployment.fault("model-readers", fault)
                service = randomness.choice(["encoders", "retrievers", "rerankers"])
                deployment.fault(service, randomness.choice(CALL_FAULTS))

        replies, _ = await asyncio.gather(
            asyncio.gather(*(call(number) for number in range(60))), disturb()
        )
        complete = sum(reply is not None and reply.status == 200 for reply in replies)
        assert complete >= 57, [r for r in replies if r is None or r.status != 200]


def spec_with_two_versions():
    """Return a sample deployment whose engines are of two versions by turns."""
    spec = sample_deployment(engines=6, pool_size=2, work=0.0, step_ms=1.0)
    backends = tuple(
        msgspec.structs.replace(backend, version=f"v{number % 2 + 1}")
        for number, backend in enumerate(spec.backends)
    )
    return msgspec.structs.replace(spec, backends=backends)


class TestSoftwareVersions:
    # Guards against answers that join the chunks of two software versions.
    @pytest.mark.parametrize("stream", [False, True])
    async def test_a_broken_stream_goes_on_at_its_version(self, stream):
        policy = {"retry_budget_ratio": 1.0, "retry_budget_reserve": 100.0}
        spec = spec_with_two_versions()
        version_by_id = {backend.id: backend.version for backend in spec.backends}
        async with LocalDeployment(spec, nodes=1, policy=policy) as deployment:
            history = History()
            cut = Fault(Action.CUT_STREAM, GENERATE, times=12, after=3)
            deployment.fault("model-readers", cut)
            texts = [f"text {letter}" for letter in "abcdefghijkl"]
            replies = await asyncio.gather(
                *(
                    history.call(deployment, 0, "revision-check", text, stream=stream)
                    for text in texts
                )
            )
            assert [reply.status for reply in replies] == [200] * len(texts)
            for text in texts:
                versions = {
                    version_by_id[entry.backend_id]
                    for entry in deployment.journal("model-readers")
                    if text in entry.input_text and entry.tokens
                }
                assert len(versions) == 1, text
