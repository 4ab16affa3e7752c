"""Defers the loading of modules that a library imports but that this process may never use."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from importlib.util import find_spec, module_from_spec
from types import ModuleType

# trio imports these for TLS, which the platform does not use.
DEFERRED_MODULES = ("ssl", "hmac", "hashlib")


class DeferredModule(ModuleType):
    """A module that is loaded when one of its attributes is first used.

    ``importlib.util.LazyLoader`` does not serve here: before Python 3.12 a second ``import`` of its modules
    loads them.
    """

    def __getattr__(self, name: str) -> object:
        """Load the module and return its attribute; raise AttributeError or ImportError."""
        if name.startswith("__"):  # the import system looks for these without using the module
            raise AttributeError(name)
        self.__class__ = ModuleType  # type: ignore[assignment]
        assert self.__spec__ is not None
        assert self.__spec__.loader is not None
        self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def defer_modules(names: Iterable[str] = DEFERRED_MODULES) -> None:
    """Defer the loading of modules that are not loaded yet; raise ImportError for a missing one."""
    for name in names:
        if name in sys.modules:
            continue
        spec = find_spec(name)
        if spec is None:
            raise ImportError(f"no module named {name!r}")
        module = module_from_spec(spec)
        module.__class__ = DeferredModule
        sys.modules[name] = module
