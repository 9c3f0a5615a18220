"""A command group that imports some commands only when they are used."""

import importlib
from collections.abc import Mapping
from typing import ClassVar

import click


class LazyGroup(click.Group):
    """Loads commands of `lazy_modules` on demand.

    The experiments need the stand-ins' package, which an operator's machine
    may lack; such a command is then not listed.
    """

    lazy_modules: ClassVar[Mapping[str, str]] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*super().list_commands(ctx), *self.lazy_modules})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command, None when it is not installed."""
        if cmd_name not in self.lazy_modules:
            return super().get_command(ctx, cmd_name)
        try:
            module = importlib.import_module(self.lazy_modules[cmd_name])
        except ModuleNotFoundError:
            return None
        command: click.Command = getattr(module, cmd_name)
        return command
