Feature: scripts/accepted_jobs.py finds accepted jobs that were lost

  Scenario: an accepted job that no scheduler has a line on is found
    Given logs with these events
      | time | node | event       | job | call   | answer |
      | 10   | n1   | JobAnswered | a1  | submit | done   |
      | 10   | n1   | JobAnswered | a2  | submit | done   |
      | 11   | n2   | TaskStarted | a2  |        |        |
      | 12   | n1   | JobAnswered | a3  | submit | unknown |
      | 30   | n2   | TaskStarted | a2  |        |        |
    Then the script finds
      | a1: accepted by n1, and no scheduler knows it |

  Scenario: a job that was accepted just before the end, or that stands still, is not found
    Given logs with these events
      | time | node | event       | job | call   | answer |
      | 10   | n1   | JobAnswered | a1  | submit | done   |
      | 13   | n2   | JobStalled  | a1  |        |        |
      | 25   | n1   | JobAnswered | a2  | submit | done   |
      | 30   | n2   | JobStalled  | a1  |        |        |
    Then the script finds nothing

  Scenario: a task that starts long after its job's cancellation is found
    Given logs with these events
      | time | node | event       | job | call   | answer |
      | 10   | n1   | JobAnswered | a1  | submit | done   |
      | 10   | n1   | JobAnswered | a2  | submit | done   |
      | 15   | n3   | JobAnswered | a1  | cancel | done   |
      | 15   | n3   | JobAnswered | a2  | cancel | done   |
      | 17   | n2   | TaskStarted | a2  |        |        |
      | 19.5 | n2   | TaskStarted | a1  |        |        |
    Then the script finds
      | a1: a task starts 4.5 s after its cancellation |
