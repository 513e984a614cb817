"""Test that an agent serves its metrics, whose server starts at the first scrape."""

import trio

from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.functional.test_rank_agent import make_agent


def test_metrics_include_counts_from_before_the_first_scrape():
    async def main():
        agent = make_agent(0, replica="127.0.0.1:9", store="127.0.0.1:9", port=0)
        client = ReplicaClient()
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.run)
            agent._metrics.count_event("map-in-force", 3)
            bodies = []
            for _ in range(2):
                async with client.call(
                    agent.metrics_address,
                    method="GET",
                    target=b"/metrics",
                    headers=((b"host", b"agent"),),
                ) as response:
                    bodies.append(await response.read(max_bytes=100_000))
            nursery.cancel_scope.cancel()
        await client.close()
        await agent.close()
        assert all(b'event="map-in-force"' in body for body in bodies)
        assert all(b" 3.0" in body for body in bodies)

    with_limit(main)


def with_limit(main):
    async def run():
        with trio.fail_after(60):
            await main()

    trio.run(run)
