"""Settings of all tests, and the mesh that several files use."""

import asyncio
import pathlib
import tempfile
from collections.abc import AsyncIterator

import pytest
from hypothesis import configuration, HealthCheck, settings

from primroseglade.sidecar.loop import build_loop

from .mesh import build_configuration, Mesh, PATHS, run_mesh

# Outside the tree: the library's caches name the folder of the checkout, and whatever
# copies the tree would take them along.
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
    """Makes the loop that the platform's node runs on."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new one."""
        return build_loop()


@pytest.fixture(scope="module")
def event_loop_policy(
    request: pytest.FixtureRequest,
) -> asyncio.AbstractEventLoopPolicy:
    """The loop of a file's tests: those of the platform's node run on its own."""
    if "mesh" in request.module.__name__:
        return NodeLoopPolicy()
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def mesh() -> AsyncIterator[Mesh]:
    """A node of one service and two of another."""
    mesh = Mesh()
    for service in ("front", "deep", "deep"):
        mesh.add(service)
    mesh.store.publish(build_configuration(1, *PATHS))
    async with run_mesh(mesh):
        yield mesh
