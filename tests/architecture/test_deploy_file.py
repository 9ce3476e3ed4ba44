"""The deploy file agrees with the files of the repository."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def deploy_file() -> dict:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))


def test_the_deploy_file_names_every_file_of_the_decisions():
    files = (ROOT / "ravenshelf" / "policy").glob("*.py")
    assert sorted(deploy_file()["policy"]) == sorted(path.relative_to(ROOT).as_posix() for path in files)


def test_every_file_that_the_deploy_file_names_exists():
    file_names = [*deploy_file()["policy"], *deploy_file()["node"]]
    assert [name for name in file_names if not (ROOT / name).exists()] == []
