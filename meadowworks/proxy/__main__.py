import gc

gc.disable()  # until the start is over: it makes much and drops little

from meadowworks.runtime import lazy_imports as lean  # noqa: E402

lean.start()

from meadowworks.proxy.server import main  # noqa: E402

raise SystemExit(main())
