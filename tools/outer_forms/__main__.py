"""Compare two commits by their outer forms: the simulator's wire and a server on sockets.

    python -m tools.outer_forms BASE [HEAD] [--seeds N]

Both commits are played from clean clones with this interpreter. Exit code 0: equal; 1: they differ.
"""

import argparse
import subprocess
import sys
import tempfile
from pathlib import Path

from tools.outer_forms import server_session
from tools.outer_forms.simulator_session import SimulatorSession


def clone(commit: str, folder: Path) -> Path:
    """A clean clone of a commit of the repository in the present folder."""
    subprocess.run(["git", "clone", "-q", ".", str(folder)], check=True)
    subprocess.run(["git", "-C", str(folder), "checkout", "-q", commit], check=True)
    return folder


def differing_seeds(base: Path, head: Path, seeds: int) -> list[int]:
    """The seeds of simulator sessions in which the two checkouts reply differently."""
    return [
        seed
        for seed in range(seeds)
        if SimulatorSession(base, seed).play() != SimulatorSession(head, seed).play()
    ]


def differences(base: server_session.ServerTranscript, head: server_session.ServerTranscript) -> list[str]:
    """What differs between two sessions with a server, a line each."""
    found = []
    for name in base._fields:
        before = getattr(base, name)
        after = getattr(head, name)
        if before != after:
            found.append(f"{name}: {before!r}\n    became {after!r}")
    return found


def main() -> int:
    """Play, compare, print; gives the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base")
    parser.add_argument("head", nargs="?", default="HEAD")
    parser.add_argument("--seeds", type=int, default=20, help="sessions on the simulator's wire")
    options = parser.parse_args()
    commits = [
        subprocess.run(["git", "rev-parse", name], check=True, capture_output=True, text=True).stdout.strip()
        for name in (options.base, options.head)
    ]
    with tempfile.TemporaryDirectory() as folder:
        base = clone(commits[0], Path(folder) / "base")
        head = clone(commits[1], Path(folder) / "head")
        seeds = differing_seeds(base, head, options.seeds)
        equal = options.seeds - len(seeds)
        print(f"simulator's wire: {equal} of {options.seeds} sessions equal, differ: {seeds}")
        sockets = differences(server_session.play(base), server_session.play(head))
        print("server on sockets: " + ("equal" if not sockets else "\n  ".join(["differs", *sockets])))
    return 1 if seeds or sockets else 0


if __name__ == "__main__":
    sys.exit(main())
