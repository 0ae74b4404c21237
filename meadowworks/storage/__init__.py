"""What a control-plane replica keeps on its disk: its acceptor, hints about backends, records of drains."""
