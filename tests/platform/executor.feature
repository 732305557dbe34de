Feature: calls to one incarnation of an executor

  An incarnation is known by its born. The next one under its id takes all calls to it.

  Scenario: a start that had no answer is not repeated to the next incarnation
    Guards against TWICE: the next incarnation takes the repetition and is cut off, so that
    nobody knows of its run.
    Given an executor born at 1000 that has answered its client
    When a start has no answer, and the executor starts again with born 2000
    And the client is told to start the run again
    Then the start was not carried out, and born 2000 was known by its answer

  Scenario: a start that waited for a connection does not reach the next incarnation
    Guards against TWICE, as above: the start was queued before the executor went down.
    Given an executor born at 1000 that has answered its client
    When it answers nothing, and a start waits behind calls until it starts again with born 2000
    Then the start was not carried out, and born 2000 was known by its answer

  Scenario: an executor is asked once for each connection who answers
    Given an executor born at 1000 that has not been called
    When the client starts 3 runs one after another
    Then all were carried out, and the executor was asked 1 time for a report

  Scenario: a connection over which a report was requested need not be asked again
    Given an executor born at 1000 that has answered its client
    When the client starts 3 runs one after another
    Then all were carried out, and the executor was asked 1 time for a report

  Scenario Outline: a start is carried out by an executor that <does>
    Given an executor born at 1000 that has not been called
    And it <does>
    When the client starts 3 runs one after another
    Then all were carried out

    Examples:
      | does                   |
      | closes each connection |
      | tells no born          |

  Scenario: a start is not sent if nobody says who answers
    Given an executor born at 1000 that has not been called
    When it answers nothing, and the client is told to start a run
    Then the start was not sent
