"""A command group that imports some commands only when they are used."""

import importlib
from collections.abc import Mapping
from typing import ClassVar

import click


class LazyGroup(click.Group):
    """Imports the modules of `lazy_modules` only when a command is used.

    Some commands need packages that an operator's machine may lack; a command
    whose module cannot be imported does not exist for click.
    """

    lazy_modules: ClassVar[Mapping[str, str]] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*super().list_commands(ctx), *self.lazy_modules})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command, None if its module is not installed."""
        if cmd_name not in self.lazy_modules:
            return super().get_command(ctx, cmd_name)
        try:
            module = importlib.import_module(self.lazy_modules[cmd_name])
        except ModuleNotFoundError:
            return None
        command: click.Command = getattr(module, cmd_name)
        return command
