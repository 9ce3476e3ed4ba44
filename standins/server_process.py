"""Control-plane servers as processes, for tests, benchmarks and examples."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import IO

ROOT = Path(__file__).resolve().parent.parent


async def start_server(
    configuration: Path,
    *arguments: str,
    output: int | IO[bytes] | None = asyncio.subprocess.DEVNULL,
    errors: int | IO[bytes] | None = asyncio.subprocess.DEVNULL,
    new_session: bool = False,
) -> asyncio.subprocess.Process:
    """Start `ravenshelf serve` with a configuration file, and return its process.

    Args:
        configuration: Path of the configuration file.
        arguments: Further arguments of the command.
        output: Destination of the standard output; None inherits that of this process.
        errors: Destination of the standard error output; None inherits that of this process.
        new_session: Whether the process is protected from signals of this process's terminal.
    """
    command = (sys.executable, "-m", "ravenshelf", "serve", "--config", str(configuration), *arguments)
    return await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, stdout=output, stderr=errors, start_new_session=new_session
    )


@contextlib.asynccontextmanager
async def running_server(configuration: Path, *arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a server without output, and terminate it at the end of the block."""
    process = await start_server(configuration, *arguments)
    try:
        yield process
    finally:
        process.terminate()
        await process.wait()
