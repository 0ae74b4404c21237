Feature: A small gateway on loopback
  Three control-plane nodes and two proxies run in one process, with the classes of the programs.

  Scenario: Configuration, drain, an empty disk and a graceful shutdown
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    Then each proxy serves safe and unsafe requests
    When a backend announces its drain to the second control-plane node
    Then no proxy sends to it once the drain is acknowledged
    When the same version with different content is sent to the third control-plane node
    Then it is rejected, and every control-plane node returns the first content
    When an older version is sent late
    Then it is acknowledged and has no effect
    When two contents under one version are sent concurrently, several times
    Then exactly one of each pair is acknowledged, and reads return it
    When the first control-plane node restarts with an empty disk
    Then it joins as a new member and returns the acknowledged configuration
    When a proxy is asked to shut down while a request is in flight
    Then that request gets its complete response, and its connection is closed

  Scenario: All power is lost right after a drain was acknowledged
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a backend announces its drain to the second control-plane node
    And every program is killed and restarted, and one disk is lost
    Then a delayed heartbeat does not end the drain on any node

  Scenario: A backend is redirected to a control-plane node of its zone, and that node fails
    Given a gateway whose backends send heartbeats
    When a backend of the south sends a heartbeat to the first control-plane node, in the north
    Then it is redirected to the second, until a heartbeat fails there

  Scenario: An operator inspects the system from the command line
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    Then the commands report nodes, backends and reasons, in columns and as a JSON object
    And invalid input prints one line to stderr and returns exit code 2

  Scenario: A backend's address is taken over by another backend
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a backend ends and its address goes to another service
    Then no request for the old backend reaches the new one

  Scenario: A proxy starts while the control plane is partitioned
    Given a gateway whose backends send heartbeats
    When version 1 is sent to the first control-plane node
    And a proxy restarts while only one control-plane node is left, without a lease
    Then it is not ready, and answers no request with 404
    And after the startup grace period it has no route table, and rejects requests with Retry-After
    And a drain that reaches no other node's disk is not acknowledged
    When the other nodes restart
    Then it is ready, and a delayed older version has no effect
    And while its view of the control plane is stale it is ready, and answers no request with 404
