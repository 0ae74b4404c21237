Feature: One request on its way
  What the end of a try proves decides whether another may follow, and what the client may be told.

  Scenario Outline: A try ends and there is another backend
    Given a <kind> request with two backends and <tries> tries
    When its first try ends by <end>
    Then it is <then>

    Examples:
      | kind   | tries | end                   | then           |
      | unsafe | 2     | no connection         | sent elsewhere |
      | unsafe | 2     | 503 stating not run   | sent elsewhere |
      | unsafe | 2     | 421                   | sent elsewhere |
      | unsafe | 2     | a reset               | answered 502   |
      | unsafe | 2     | a bare 503            | answered 502   |
      | unsafe | 2     | a bare 429            | answered 502   |
      | unsafe | 2     | 500                   | forwarded 500  |
      | unsafe | 1     | no connection         | answered 503   |
      | unsafe | 1     | a reset               | answered 502   |
      | safe   | 2     | a reset               | sent elsewhere |
      | safe   | 2     | 500                   | sent elsewhere |
      | safe   | 1     | a reset               | answered 502   |
      | safe   | 1     | 503 stating not run   | answered 503   |
      | unsafe | 2     | 200                   | forwarded 200  |
