"""Starts the control plane: `python3 -O -m meadowworks.controlplane`."""

import gc

gc.disable()  # a start makes much and drops little; `run_program` enables it again

from meadowworks.runtime import lazy_imports  # noqa: E402

lazy_imports.install()  # before anything that it leaves out is imported

from meadowworks.controlplane.server import main  # noqa: E402

raise SystemExit(main())
