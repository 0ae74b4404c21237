Feature: A small gateway on loopback
  Three signalboxes and two junctions, the very classes of the programs, in one process.

  Scenario: The whole path, a drain, a restart and an end in order
    Given a gateway whose backends beat
    When version 1 is sent to the first signalbox
    Then each junction serves safe and unsafe requests
    When a backend drains at the second signalbox
    Then no junction sends to it once that is acknowledged
    When the same number with another content is sent to the third signalbox
    Then it is refused, and every signalbox reads back what was sent first
    When an older version is sent late
    Then it is acknowledged and changes nothing
    When two contents under one number are sent at once, again and again
    Then exactly one of each two is acknowledged, and that one is read back
    When the first signalbox comes back with an empty disk
    Then it enters anew and reads back what was acknowledged
    When a junction is told to end with a request at work
    Then that request is answered, whole, and its connection ends

  Scenario: All power is lost right after a drain was acknowledged
    Given a gateway whose backends beat
    When version 1 is sent to the first signalbox
    And a backend drains at the second signalbox
    And every program is killed and starts again, and one disk is lost
    Then a late beat does not bring it back anywhere

  Scenario: A backend is asked to call a signalbox of its zone, and that one fails
    Given a gateway whose backends beat
    When a backend of the south beats at the first signalbox, which is of the north
    Then it is asked to call the second, until a beat fails there

  Scenario: An operator asks what is going on
    Given a gateway whose backends beat
    When version 1 is sent to the first signalbox
    Then the words tell of nodes, backends and reasons, in columns and as one object
    And what makes no sense is one line and status 2

  Scenario: An address that is someone else's now
    Given a gateway whose backends beat
    When version 1 is sent to the first signalbox
    And a backend ends and its address goes to another service
    Then no request reaches the newcomer in its place

  Scenario: A junction starts while the core is cut
    Given a gateway whose backends beat
    When version 1 is sent to the first signalbox
    And a junction starts anew while only one signalbox is there, cut off
    Then it is not ready, and tells nobody that a route is not there
    And after a while it still has no table from there, and says when to come back
    And a drain that no other disk's controller hears of is not acknowledged
    When the others are back
    Then it is ready, and an older version that comes late changes nothing there
    And while its picture is old it is ready, and tells nobody that a route is not there
