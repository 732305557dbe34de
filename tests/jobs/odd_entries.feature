Feature: odd entries of other writers among those of the executors

  Scenario: generated entries of another writer do not affect executors beside them
    Then an executor is used after generated entries are read in a page and in the log

  Scenario: a node as a process follows the list of executors after odd entries
    Given an emulated platform whose list has odd entries before that of an executor
    And a node as a process
    Then a job is completed on that executor
    When odd entries and then that of another executor are written
    And the entry of the first executor is replaced by odd ones, then written again
    Then a job that needs both executors is completed on them
    And the process runs, and has reported no error
