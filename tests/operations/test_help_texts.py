"""Help texts of the command line are printed completely.

The printer of the help texts reads a name in brackets as markup and drops it, unless its source escapes the
bracket. The sentence is then printed with a gap: two spaces, or a space before a full stop.
"""

import re

import click
import pytest
import typer.main
from typer.testing import CliRunner

from ravenshelf.commands.application import app

SERVE = ("serve",)  # argparse itself prints the help of this command
COLUMNS = "400"  # a terminal width at which every help text is printed in one line
ESCAPED_BRACKET = r"\["
TABLE_NAME = re.compile(r"\[[a-z_]+\]")
# Two or more spaces within a sentence, or a space before a punctuation mark. A sentence that follows a column
# begins with a capital letter, so the space between two columns is not a gap.
GAP = re.compile(r"[\w,;:)]\s{2,}[a-z]|\s+[.,;:](?:\s|$)", re.MULTILINE)
# argparse adds this option to `serve` by itself, and its text begins with a small letter
ARGPARSE_HELP_OPTION = re.compile(r"^ *-h, --help +show this help message and exit$", re.MULTILINE)


def commands_below(command, path=()):
    yield path, command
    for name, below in getattr(command, "commands", {}).items():
        yield from commands_below(below, (*path, name))


COMMANDS = dict(commands_below(typer.main.get_command(app)))


def help_sources(command):
    """Return the help texts that the command's help prints, as they are written in the code."""
    parameters = [parameter.help for parameter in command.params]
    commands = [below.help for below in getattr(command, "commands", {}).values()]
    return [text for text in (command.help, *parameters, *commands) if text]


def printed_help(path):
    result = CliRunner().invoke(app, [*path, "--help"], env={"COLUMNS": COLUMNS})
    assert result.exit_code == 0, result.output
    return click.unstyle(result.output)


@pytest.mark.parametrize("path", COMMANDS, ids=lambda path: " ".join(path) or "ravenshelf")
def test_help_is_printed_with_its_table_names_and_without_gaps(path):
    printed = printed_help(path)
    for source in help_sources(COMMANDS[path]):
        plain_source = " ".join(source.replace(ESCAPED_BRACKET, "[").split())
        for table_name in TABLE_NAME.findall(plain_source):
            assert table_name in printed, f"{table_name} of: {source}"
        assert path == SERVE or plain_source in " ".join(printed.split()), source
    assert ESCAPED_BRACKET not in printed
    assert not GAP.findall(ARGPARSE_HELP_OPTION.sub("", printed)), printed


def test_all_commands_are_checked():
    names = {" ".join(path) for path in COMMANDS}
    assert {"serve", "check", "controllers status", "distribution relay", "store compact"} <= names
    sources = " ".join(source for command in COMMANDS.values() for source in help_sources(command))
    assert {r"[leadership]", r"[distribution]"} <= set(TABLE_NAME.findall(sources))
