Feature: A small gateway on loopback
  Three control-plane nodes and two proxies, the very classes of the programs, in one process.

  Scenario: Configuration, drain, an empty disk and a graceful shutdown
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    Then each proxy serves safe and unsafe requests
    When a backend announces its drain to the second control-plane node
    Then no proxy sends to it once the drain is acknowledged
    When the same version with another content is sent to the third control-plane node
    Then it is rejected, and every control-plane node returns what was sent first
    When an older version is sent late
    Then it is acknowledged and changes nothing
    When two contents under one version are sent concurrently, several times
    Then exactly one of each two is acknowledged, and that one is read back
    When the first control-plane node comes back with an empty disk
    Then it joins as a new member and returns what was acknowledged
    When a proxy is asked to shut down while a request is in flight
    Then that request gets its complete response, and its connection is closed

  Scenario: All power is lost right after a drain was acknowledged
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a backend announces its drain to the second control-plane node
    And every program is killed and restarted, and one disk is lost
    Then a late heartbeat does not bring the backend back anywhere

  Scenario: A backend is redirected to a control-plane node of its zone, and that node fails
    Given a gateway whose backends send heartbeats
    When a backend of the south sends a heartbeat to the first control-plane node, in the north
    Then it is redirected to the second, until a heartbeat fails there

  Scenario: An operator inspects the system from the command line
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    Then the commands report nodes, backends and reasons, in columns and as one JSON object
    And invalid input is one line and exit code 2

  Scenario: A backend's address is taken over by another backend
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a backend ends and its address goes to another service
    Then no request reaches the newcomer in its place

  Scenario: A proxy starts while the control plane is partitioned
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a proxy restarts while only one control-plane node is left, without a lease
    Then it is not ready, and answers no request with 404
    And after a while it still has no route table, and rejects requests with a time to retry
    And a drain that reaches no other node's disk is not acknowledged
    When the other nodes are back
    Then it is ready, and an older version that comes late changes nothing there
    And while its view of the control plane is stale it is ready, and answers no request with 404
