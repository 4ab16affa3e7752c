"""Every command of ``fordstair``. ``Exit`` holds the exit codes; ``--json`` prints one JSON object."""

from __future__ import annotations

import json
import os
import sys
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from fordstair.configuration.errors import ConfigError, ConfigurationProblem, InvalidOperatorFileError
from fordstair.console.connection import ConsoleConnectionError, send_command

DEFAULT_FILE = Path("deploy/appliance.toml")


class Exit(IntEnum):
    """What a command's exit code tells."""

    OK = 0
    FAILED = 1  # the program cannot be reached, or a run did not go as it should
    UNUSABLE = 2  # the file, or the command line, cannot be used
    NOT_DONE = 3  # the program has refused an adjustment: a conflict, nothing of that name, not now
    UNCONFIRMED = 4  # it disturbs service, and was not confirmed


TABLES = {  # that a running program can be asked for; each is a command
    "status": "Tell how the program does.",
    "engines": "List the engines, as the decision module believes them to be.",
    "requests": "List the oldest open requests.",
    "members": "List the coordinators of the fleet, as this one believes them to be.",
    "shares": "List this coordinator's shares of the fleet's budgets, and all members' where it grants them.",
    "counters": "Print the program's counters.",
}

app = typer.Typer(
    name="fordstair",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A coordinator for small sites: start it, watch it, adjust it.",
    epilog="Exit codes: 0 done; 1 not reached, or a run that went wrong; 2 a file or command line that "
    "cannot be used; 3 an adjustment that the program refused; 4 one that was not confirmed.",
)

File = Annotated[Path, typer.Argument(help="The operator's file.", metavar="FILE")]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Yes = Annotated[bool, typer.Option("--yes", "-y", help="Do not ask where it disturbs service.")]
Socket = Annotated[
    str,
    typer.Option(
        "--socket",
        "-s",
        envvar="FORDSTAIR_SOCKET",
        metavar="PATH",
        help="The console's socket; without it, that of --file.",
    ),
]
FileOption = Annotated[
    Path,
    typer.Option(
        "--file",
        "-f",
        envvar="FORDSTAIR_FILE",
        metavar="FILE",
        help="The operator's file that names the socket.",
    ),
]


def end(code: Exit, *lines: str) -> NoReturn:
    """Print lines on standard error, and exit."""
    for line in lines:
        typer.echo(line, err=True)
    raise typer.Exit(code)


def fail_unusable(error: ConfigError) -> NoReturn:
    """Print what cannot be used, one line a problem, and exit."""
    end(Exit.UNUSABLE, *str(error).splitlines())


def console_socket(socket: str, file: Path) -> str:
    """Return the path of the console's socket: the one given, else the one that the operator's file names."""
    if socket:
        return socket
    from fordstair.configuration.operator_file import load_operator_file

    try:
        console = load_operator_file(str(file), require_site=False).console
    except ConfigError as error:
        end(Exit.UNUSABLE, *str(error).splitlines(), "name a socket by --socket, or a file by --file")
    if console is None:
        end(Exit.UNUSABLE, f"{file}: console: is missing, so that no console can reach the program")
    return console.socket_path


@app.command()
def serve(file: File) -> None:
    """Run an appliance until SIGTERM, Ctrl-C or drain."""
    from fordstair.cli.serve import run

    try:
        run(str(file))
    except ConfigError as error:
        fail_unusable(error)


@app.command()
def check(file: File, as_json: Json = False) -> None:
    """Check an operator's file and list all its faults."""
    from fordstair.configuration.operator_file import (
        coordinator_config,
        operator_options,
        read_operator_file,
    )

    problems: tuple[ConfigurationProblem, ...] = ()
    try:
        checked = read_operator_file(str(file), require_site=True)
        coordinator_config(checked)
        operator_options(checked)
    except InvalidOperatorFileError as invalid:
        problems = invalid.problems
    except (ConfigError, ValueError) as error:
        problems = (ConfigurationProblem("", str(error)),)
    if as_json:
        typer.echo(
            json.dumps(
                {
                    "file": str(file),
                    "faults": [{"path": each.path, "reason": each.reason} for each in problems],
                }
            )
        )
    if problems:
        end(Exit.UNUSABLE, *(() if as_json else (problem.line(str(file)) for problem in problems)))
    if not as_json:
        typer.echo(
            f"{file}: no fault: {len(checked.engines)} engines, {len(checked.classes)} classes, "
            f"{len(checked.teams)} teams"
        )


@app.command()
def schema() -> None:
    """Print the JSON Schema of the operator's file."""
    from fordstair.configuration.operator_schema import json_schema

    typer.echo(json.dumps(json_schema(), indent=2))


@app.command()
def demo(
    headless: Annotated[bool, typer.Option(help="No console: run, and print one JSON line.")] = False,
    seconds: Annotated[float, typer.Option(min=1.0, max=86_400.0, help="How long, where headless.")] = 10.0,
    engines: Annotated[int, typer.Option(min=1, max=16, help="Stand-in engines.")] = 4,
    rate: Annotated[float, typer.Option(min=0.1, max=2_000.0, help="Requests a second.")] = 40.0,
    seed: Annotated[int, typer.Option(help="Of the traffic.")] = 1,
    trouble: Annotated[bool, typer.Option(help="Let engines fall silent and return cold.")] = True,
    as_json: Json = False,
) -> None:
    """Run an appliance with stand-in engines and light traffic, and open the console on it."""
    from fordstair.cli.demo import Demo
    from fordstair.lab.coordinator_process import NotStartedError

    try:
        demo_run = Demo(engines, rate, seed, trouble)
        figures = demo_run.headless(seconds, progress=not as_json) if headless else demo_run.watched()
    except NotStartedError as error:
        end(Exit.FAILED, f"demo: {error}")
    if headless and as_json:
        typer.echo(json.dumps(figures))
    elif headless:
        for name, value in figures.items():
            typer.echo(f"{name:16} {value}")
    if figures["lost"] or figures["answered_twice"]:
        raise typer.Exit(Exit.FAILED)


@app.command()
def traffic(
    out: Annotated[Path, typer.Argument(metavar="OUT.jsonl")],
    seconds: Annotated[float, typer.Option(min=1.0, max=86_400.0)] = 300.0,
    rate: Annotated[float, typer.Option(min=0.1, max=10_000.0, help="Requests a second.")] = 40.0,
    seed: int = 1,
) -> None:
    """Write the traffic of a billing close, one request a line, without any statement's text."""
    from fordstair.lab.billing_close import TrafficShape, generate, write_arrivals

    middle = seconds / 2.0
    arrivals = generate(TrafficShape(seconds, rate, doubled=((middle, middle + min(20.0, middle)),)), seed)
    try:
        write_arrivals(out, arrivals)
    except OSError as error:
        end(Exit.FAILED, f"{out}: {error.strerror}")
    typer.echo(f"{out}: {len(arrivals)} requests")


@app.command()
def replay(
    traffic: Annotated[Path, typer.Argument(metavar="TRAFFIC.jsonl")],
    against: Annotated[Path, typer.Option("--against", metavar="FILE", help="The operator's file.")],
    seed: int = 1,
    as_json: Json = False,
) -> None:
    """Play traffic against a file's classes, teams and engines in virtual time, with budgets and without."""
    from fordstair.configuration.operator_file import load_operator_file
    from fordstair.lab.replay import compare

    try:
        results = compare(traffic, load_operator_file(str(against), require_site=True), seed)
    except ConfigError as error:
        fail_unusable(error)
    except ValueError as error:
        end(Exit.UNUSABLE, str(error))
    except OSError as error:
        end(Exit.UNUSABLE, f"{traffic}: {error.strerror}")
    if as_json:
        return typer.echo(json.dumps(results))
    for name, figures in results.items():
        typer.echo(f"{name}: " + "  ".join(f"{key} {value}" for key, value in figures.items()))


@app.command()
def console(
    socket: Socket = "",
    file: FileOption = DEFAULT_FILE,
    once: Annotated[bool, typer.Option("--once", help="Print one look, and leave.")] = False,
    svg: Annotated[
        str,
        typer.Option(
            "--svg",
            metavar="FILE",
            hidden=True,
            help="Save a picture of the console after a moment, and leave.",
        ),
    ] = "",
) -> None:
    """Watch and adjust a running program in the terminal."""
    path = console_socket(socket, file)
    try:
        if once:
            from fordstair.console.print_once import print_once

            return print_once(path)
        from fordstair.console.app import ConsoleApp

        send_command(
            path, "status"
        )  # a program that cannot be reached is told in a line, not on a full screen
        if svg:
            from fordstair.console.print_once import save_svg

            return save_svg(path, svg)
        ConsoleApp(path).run()
    except ConsoleConnectionError as error:
        end(Exit.FAILED, f"fordstair: {error}")


def _add_table_command(table: str, description: str) -> None:
    """Add the command that prints one table of a running program."""

    def command(socket: Socket = "", file: FileOption = DEFAULT_FILE, as_json: Json = False) -> None:
        print_table(table, socket, file, as_json)

    app.command(table, help=description)(command)


for _table, _description in TABLES.items():
    _add_table_command(_table, _description)


@app.command("set-aside")
def set_aside(
    engine: Annotated[str, typer.Argument(metavar="ENGINE")],
    socket: Socket = "",
    file: FileOption = DEFAULT_FILE,
    yes: Yes = False,
    as_json: Json = False,
) -> None:
    """Send an engine nothing new; what runs there goes on. In force until restart or bring-back."""
    adjust("set-aside", socket, file, yes, as_json, engine=engine)


@app.command("bring-back")
def bring_back(
    engine: Annotated[str, typer.Argument(metavar="ENGINE")],
    socket: Socket = "",
    file: FileOption = DEFAULT_FILE,
    yes: Yes = False,
    as_json: Json = False,
) -> None:
    """Send an engine work again."""
    adjust("bring-back", socket, file, yes, as_json, engine=engine)


@app.command()
def limit(
    class_name: Annotated[str, typer.Argument(metavar="CLASS")],
    threads: Annotated[str, typer.Argument(metavar="THREADS", help="A number, or 'none'.")],
    socket: Socket = "",
    file: FileOption = DEFAULT_FILE,
    yes: Yes = False,
    as_json: Json = False,
) -> None:
    """Bound the threads that a class may have out at engines. In force until restart."""
    if threads != "none" and not (threads.isascii() and threads.isdecimal() and len(threads) < 10):
        end(Exit.UNUSABLE, f"THREADS: {threads!r} is neither a number nor 'none'")
    bound = None if threads == "none" else int(threads)
    adjust("limit", socket, file, yes, as_json, **{"class": class_name, "threads": bound})


@app.command()
def drain(
    socket: Socket = "", file: FileOption = DEFAULT_FILE, yes: Yes = False, as_json: Json = False
) -> None:
    """Let the program answer what is open, take nothing more, and end."""
    adjust("drain", socket, file, yes, as_json)


def print_table(table: str, socket: str, file: Path, as_json: bool) -> None:
    """Ask a running program for a table, and print it."""
    try:
        answer = send_command(console_socket(socket, file), table)
    except ConsoleConnectionError as error:
        end(Exit.FAILED, f"fordstair: {error}")
    if as_json:
        return typer.echo(json.dumps(answer))
    from fordstair.cli.tables import print_pairs, print_rows

    content = answer[table]
    if isinstance(content, dict):
        print_pairs(content)
    else:
        print_rows(table, content, answer["at_ms"])


def adjust(command: str, socket: str, file: Path, yes: bool, as_json: bool, **fields: Any) -> None:
    """Ask for an adjustment; ask the operator where it disturbs service."""
    path = console_socket(socket, file)
    try:
        answer = send_command(path, command, confirmed=yes, **fields)
        if answer.get("verdict") == "confirm" and not as_json and sys.stdin.isatty():
            if not typer.confirm(f"{command}: {answer['why']}. Do it?"):
                end(Exit.UNCONFIRMED, "left as it was")
            answer = send_command(path, command, confirmed=True, **fields)
    except ConsoleConnectionError as error:
        end(Exit.FAILED, f"fordstair: {error}")
    verdict = str(answer.get("verdict"))
    if as_json:
        typer.echo(json.dumps(answer))
    else:
        why = f": {answer['why']}" if answer.get("why") else ""
        typer.echo(f"{command}: {verdict}{why}", err=verdict not in ("done", "already"))
    if verdict == "confirm":
        end(Exit.UNCONFIRMED, *(() if as_json else ("say --yes to do it",)))
    if verdict not in ("done", "already"):
        raise typer.Exit(Exit.NOT_DONE)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except BrokenPipeError:  # the reader of a pipe has left
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(Exit.FAILED)
