"""The deploy file lists all modules of the decisions."""

from __future__ import annotations

import tomllib

from tests.support.paths import ROOT


def test_policy_lists_every_decisions_module() -> None:
    listed_paths = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    module_paths = [
        path.relative_to(ROOT).as_posix() for path in (ROOT / "gullmount/decisions").rglob("*.py")
    ]
    assert sorted(listed_paths) == sorted(
        path for path in module_paths if path != "gullmount/decisions/__init__.py"
    )
