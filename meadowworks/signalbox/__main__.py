from meadowworks.signalbox.program import main

raise SystemExit(main())
