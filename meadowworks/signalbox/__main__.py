import gc

gc.disable()  # until the start is over: it makes much and drops little

from meadowworks.track import lean  # noqa: E402

lean.start()

from meadowworks.signalbox.program import main  # noqa: E402

raise SystemExit(main())
