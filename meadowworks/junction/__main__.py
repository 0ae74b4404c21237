from meadowworks.junction.program import main

raise SystemExit(main())
