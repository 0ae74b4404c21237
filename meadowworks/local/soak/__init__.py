"""The soak of coordination: applications call a control plane of processes whose nodes are disturbed."""
