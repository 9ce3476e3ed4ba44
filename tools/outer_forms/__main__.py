"""Compare two commits by their external interfaces: the simulator's wire and a server on sockets.

    python -m tools.outer_forms BASE [HEAD] [--seeds N]

Both commits run from clean clones with this interpreter. The exit code is 0 if they are equal and 1 if they
differ.
"""

import argparse
import subprocess
import sys
import tempfile
from pathlib import Path

from tools.outer_forms import server_session
from tools.outer_forms.simulator_session import SimulatorSession


def clone_commit(commit: str, folder: Path) -> Path:
    """Clone the repository in the current folder into `folder`, check out a commit, and return `folder`."""
    subprocess.run(["git", "clone", "-q", ".", str(folder)], check=True)
    subprocess.run(["git", "-C", str(folder), "checkout", "-q", commit], check=True)
    return folder


def differing_seeds(base: Path, head: Path, seeds: int) -> list[int]:
    """Return the seeds of the simulator sessions in which the two checkouts reply differently."""
    return [
        seed
        for seed in range(seeds)
        if SimulatorSession(base, seed).run() != SimulatorSession(head, seed).run()
    ]


def differences(base: server_session.ServerTranscript, head: server_session.ServerTranscript) -> list[str]:
    """Return a text for each field in which two sessions with a server differ."""
    lines = []
    for name in base._fields:
        before = getattr(base, name)
        after = getattr(head, name)
        if before != after:
            lines.append(f"{name}: {before!r}\n    became {after!r}")
    return lines


def main() -> int:
    """Run the sessions of both commits, print the comparison, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base")
    parser.add_argument("head", nargs="?", default="HEAD")
    parser.add_argument("--seeds", type=int, default=20, help="number of sessions on the simulator's wire")
    options = parser.parse_args()
    commits = [
        subprocess.run(["git", "rev-parse", name], check=True, capture_output=True, text=True).stdout.strip()
        for name in (options.base, options.head)
    ]
    with tempfile.TemporaryDirectory() as folder:
        base = clone_commit(commits[0], Path(folder) / "base")
        head = clone_commit(commits[1], Path(folder) / "head")
        seeds = differing_seeds(base, head, options.seeds)
        equal_sessions = options.seeds - len(seeds)
        print(f"simulator's wire: {equal_sessions} of {options.seeds} sessions equal, differ: {seeds}")
        server_differences = differences(server_session.run_session(base), server_session.run_session(head))
        print(
            "server on sockets: "
            + ("equal" if not server_differences else "\n  ".join(["differs", *server_differences]))
        )
    return 1 if seeds or server_differences else 0


if __name__ == "__main__":
    sys.exit(main())
