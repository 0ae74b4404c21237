Feature: Attempts of one request
  The end of an attempt decides whether a retry may follow, and which response the client gets.

  Scenario Outline: An attempt ends and there is another backend
    Given a <kind> request with two backends and at most <attempts> attempts
    When its first attempt ends with <end>
    Then the request is <result>

    Examples:
      | kind   | attempts | end                | result                    |
      | unsafe | 2        | no connection      | sent to the other backend |
      | unsafe | 2        | 503 with X-Not-Run | sent to the other backend |
      | unsafe | 2        | 421                | sent to the other backend |
      | unsafe | 2        | a reset            | rejected 502              |
      | unsafe | 2        | 503                | rejected 502              |
      | unsafe | 2        | 429                | rejected 502              |
      | unsafe | 2        | 500                | forwarded 500             |
      | unsafe | 1        | no connection      | rejected 503              |
      | unsafe | 1        | a reset            | rejected 502              |
      | safe   | 2        | a reset            | sent to the other backend |
      | safe   | 2        | 500                | sent to the other backend |
      | safe   | 1        | a reset            | rejected 502              |
      | safe   | 1        | 503 with X-Not-Run | rejected 503              |
      | unsafe | 2        | 200                | forwarded 200             |
