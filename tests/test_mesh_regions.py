"""Calls of routes and workspaces that are restricted to regions."""

import asyncio

from .mesh import build_configuration, build_path, Mesh, run_mesh, send_request

PATHS = (
    build_path("deep", "deep"),
    build_path("at-r", "deep", allowed_regions=["r"]),
    build_path("at-s", "deep", allowed_regions=["s"]),
    build_path("once-at-s", "deep", allowed_regions=["s"], kind="unsafe"),
)


async def test_calls_stay_in_their_regions():
    """Guards against requests and bodies that leave the regions allowed for them, also
    when the backend server there fails, is busy, or is gone.
    """
    mesh = Mesh()
    mesh.add("front")
    mesh.add("deep")
    mesh.add("deep", zone="c")
    configuration = build_configuration(1, *PATHS)
    configuration["tenants"].append(
        {"name": "south", "api_keys": ["key-s"], "allowed_regions": ["s"]}
    )
    mesh.store.publish(configuration)
    async with run_mesh(mesh):
        entry, near, far = mesh.instances

        async def send(path: str, **fields) -> set[int]:
            requests = [
                send_request(entry, path, f"{path}-{n}", **fields) for n in range(20)
            ]
            return {answer.status for answer in await asyncio.gather(*requests)}

        def count(instance) -> int:
            return len(instance.backend.executed_request_ids)

        assert await send("/at-r/x") == {200}
        assert (count(near), count(far)) == (20, 0)
        assert await send("/at-s/x") == {200}
        assert await send("/once-at-s/x", method="POST", body=b"b" * 100) == {200}
        assert await send("/deep/x", key="key-s") == {200}
        assert (count(near), count(far)) == (20, 60)
        far.backend.state = "draining"
        assert await far.backend.report_status() == 200
        await asyncio.sleep(0.3)
        answer = await send_request(entry, "/at-s/x", "r-refused")
        assert answer.status == 503
        assert b"region-unavailable" in answer.body
        assert await send("/at-r/x", key="key-s") == {503}
        assert (count(near), count(far)) == (20, 60)
        assert await send("/deep/x") == {200}
