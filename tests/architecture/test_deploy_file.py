"""The deploy file names what is there."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def deploy_file() -> dict:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))


def test_every_file_of_the_decisions_is_named():
    files = (ROOT / "ravenshelf" / "policy").glob("*.py")
    assert sorted(deploy_file()["policy"]) == sorted(path.relative_to(ROOT).as_posix() for path in files)


def test_everything_that_it_names_exists():
    named = [*deploy_file()["policy"], *deploy_file()["node"]]
    assert [name for name in named if not (ROOT / name).exists()] == []
