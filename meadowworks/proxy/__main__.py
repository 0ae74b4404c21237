"""Entry point of the proxy."""

import gc

gc.disable()  # during startup, which allocates much and frees little

from meadowworks.runtime import early_signals  # noqa: E402

early_signals.hold_sighup()  # before the imports that take time

from meadowworks.runtime import lazy_imports  # noqa: E402

lazy_imports.install()

from meadowworks.proxy.server import main  # noqa: E402

raise SystemExit(main())
