"""Settings and fixtures shared by all tests."""

import asyncio
import pathlib
import tempfile
from collections.abc import AsyncIterator

import pytest
from hypothesis import configuration, HealthCheck, settings

from primroseglade.sidecar.loop import build_loop

from .mesh import build_configuration, Mesh, PATHS, run_mesh

# Outside the tree: Hypothesis's caches contain the path of the checkout and would be
# copied with the tree.
configuration.set_hypothesis_home_dir(
    pathlib.Path(tempfile.gettempdir()) / "primroseglade-hypothesis"
)
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


class NodeLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates the event loop on which nodes run."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new event loop."""
        return build_loop()


@pytest.fixture(scope="module")
def event_loop_policy(
    request: pytest.FixtureRequest,
) -> asyncio.AbstractEventLoopPolicy:
    """Return the policy of a test file: tests of the mesh use the node's event loop."""
    if "mesh" in request.module.__name__:
        return NodeLoopPolicy()
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def mesh() -> AsyncIterator[Mesh]:
    """Yield a running mesh of one node of a service and two of another."""
    mesh = Mesh()
    for service in ("front", "deep", "deep"):
        mesh.add(service)
    mesh.store.publish(build_configuration(1, *PATHS))
    async with run_mesh(mesh):
        yield mesh
