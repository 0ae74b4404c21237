Feature: An attempt at a backend
  Each request gets its own response, complete, or none.

  Scenario Outline: A backend over loopback
    Given a backend that responds <behavior>
    When a <kind> request is sent to it
    Then the attempt is <outcome>
    And a second request on that connection gets its own response or none

    Examples:
      | behavior                                    | kind   | outcome  |
      | correctly                                   | unsafe | answered |
      | with two responses at once                  | unsafe | answered |
      | with a second response later                | unsafe | answered |
      | with another request's id                   | unsafe | failed   |
      | with a body shorter than its length         | unsafe | failed   |
      | with an incomplete chunked body             | unsafe | failed   |
      | without a length and closes                 | unsafe | answered |
      | without a length and resets in the body     | unsafe | failed   |
      | without a length and resets before the body | unsafe | failed   |
      | with 200 and no X-Backend-Seal              | unsafe | failed   |
      | with a reset after reading the request      | unsafe | failed   |
      | as another instance                         | unsafe | not run  |
      | with 421 to another request                 | unsafe | failed   |
      | with X-Not-Run to another request           | unsafe | failed   |
      | with a refused connection                   | unsafe | not run  |
      | with malformed bytes                        | safe   | failed   |
      | with a content encoding                     | safe   | failed   |
