"""The proxy's entry point."""

import gc

gc.disable()  # until the start is over: it makes much and drops little

from meadowworks.runtime import lazy_imports  # noqa: E402

lazy_imports.install()

from meadowworks.proxy.server import main  # noqa: E402

raise SystemExit(main())
