"""Announcements of newer configurations, and when they stop being awaited."""

import asyncio

from eelgrass_node.process.deployments import ANNOUNCEMENT_TIMEOUT_S, DeploymentInForce
from eelgrass_node.version.deployment import CallerLimits, Deployment
from support.simulated_time import run_in_simulated_time


def deployments():
    def decode(raw):
        return Deployment(int(raw), {}, {}, {}, False, CallerLimits(1, 1.0))

    return DeploymentInForce("config", decode, lambda number: None)


class TestSuperseded:
    def test_superseded_until_the_newer_configuration_is_in_force(self):
        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = [found.superseded]
            found.on_number_announced(51)
            states.append(found.superseded)
            found.apply(b"51", "store")
            return [*states, found.superseded]

        assert run_in_simulated_time(main()) == [False, True, False]

    def test_an_intermediate_number_does_not_replace_the_newest(self):
        """A node that is behind as well announced a number in between.

        The newest number was dropped with it.
        """

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            found.on_number_announced(51)
            found.on_number_announced(44)
            found.apply(b"44", "node")
            return found.superseded

        assert run_in_simulated_time(main())

    def test_an_announced_number_that_never_arrives_expires(self):
        """Only a newer release may be able to read the announced configuration.

        Other nodes announce its number repeatedly. After the timeout, requests for
        unknown routes are refused by the configuration in force.
        """

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            for _ in range(int(ANNOUNCEMENT_TIMEOUT_S) + 2):
                found.on_number_announced(51)
                await asyncio.sleep(1.0)
            awaited = found.superseded
            found.on_number_announced(52)
            return awaited, found.superseded

        assert run_in_simulated_time(main()) == (False, True)

    def test_an_expired_number_does_not_hide_lower_ones(self):
        """A faulty node announced a number far above those of the other nodes."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            found.on_number_announced(10**9)
            await asyncio.sleep(ANNOUNCEMENT_TIMEOUT_S + 1.0)
            found.on_number_announced(43)
            states = [found.superseded]
            found.on_number_announced(10**9)
            found.apply(b"43", "store")
            return [*states, found.superseded]

        assert run_in_simulated_time(main()) == [True, False]

    def test_an_expired_number_is_not_awaited_again_when_announced_again(self):
        """Nodes announce the number of their configuration every second."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = []
            for _ in range(4 * int(ANNOUNCEMENT_TIMEOUT_S)):
                found.on_number_announced(51)
                states.append(found.superseded)
                await asyncio.sleep(1.0)
            return states[int(ANNOUNCEMENT_TIMEOUT_S) + 1 :]

        assert not any(run_in_simulated_time(main()))

    def test_two_expired_numbers_are_not_awaited_in_turn(self):
        """Two nodes of a newer release announce different configurations."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = []
            for second in range(6 * int(ANNOUNCEMENT_TIMEOUT_S)):
                found.on_number_announced(51 + second % 2)
                states.append(found.superseded)
                await asyncio.sleep(1.0)
            return states[2 * int(ANNOUNCEMENT_TIMEOUT_S) + 4 :]

        assert not any(run_in_simulated_time(main()))
