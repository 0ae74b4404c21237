"""Start the control plane: `python3 -O -m meadowworks.controlplane`."""

import gc

gc.disable()  # startup allocates many long-lived objects; `run_program` enables collection again

from meadowworks.runtime import early_signals  # noqa: E402

early_signals.hold_sighup()  # before the imports that take time

from meadowworks.runtime import lazy_imports  # noqa: E402

lazy_imports.install()  # must run before the modules whose import it defers

from meadowworks.controlplane.server import main  # noqa: E402

raise SystemExit(main())
