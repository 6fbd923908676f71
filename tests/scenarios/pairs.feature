Feature: Two faults at once
  Where two faults leave no safe owner of a slice, its keys wait: a slice never has two
  owners. A lookup is a GET; a credit is a POST with an idempotency key.

  Scenario: The log is unavailable and an owner is lost
    Given a mesh of 6 members
    When the log goes down
    And 2 s pass
    And member 1 is lost
    And 10 s pass
    Then no member serves the slices of the lost member
    When the log recovers
    Then every slice is served within 2 s
    And the guarantees hold

  Scenario: An owner is paused beyond its lease while the log is unavailable
    Given a mesh of 6 members
    When the log goes down
    And 2 s pass
    And member 2 is paused
    And 5 s pass
    And member 2 resumes
    Then every slice is served within 1 s
    When the log recovers
    And 3 s pass
    Then no member was closed
    And the guarantees hold

  Scenario: A failure domain is lost during a drain
    Given a mesh of 6 members
    When member 1 receives a stop request
    And 0.1 s pass
    And domain "w1" is lost
    Then every slice is served within 2 s
    And member 1 exits within 8 s
    And the guarantees hold

  Scenario: A caller repeats a request, as after a lost answer
    Given a mesh of 6 members
    When a credit for "batch-9" is sent to member 1
    And 1 s pass
    And the credit for "batch-9" is sent again to member 2
    And the credit for "batch-9" is sent again to member 3
    Then every request succeeded
    And the credit was executed 1 time

  Scenario: The owner is lost between a credit and its repeat
    Given a mesh of 6 members
    When a credit for "batch-9" is sent to member 1
    And 1 s pass
    And the owner of batch-9 is lost
    And 3 s pass
    And the credit for "batch-9" is sent again to member 2
    Then the last request is refused as "outcome_not_vouched"
    And the credit was executed 1 time

  Scenario: A region is partitioned from the log and loses a member
    Given a mesh of 6 members
    When region "wayanad" is partitioned from the log
    And 5 s pass
    Then every slice is still served
    When member 3 is lost
    Then every slice is served within 3 s
    And the guarantees hold

  Scenario: A frozen target that does not check grants resumes after a takeover
    Given a mesh of 6 members whose targets do not check grants
    When the target of member 1 freezes
    And lookups for 30 keys are sent to member 2
    And 0.1 s pass
    And member 1 is paused
    And 6 s pass
    Then every slice is still served
    When the target of member 1 resumes
    And member 1 resumes
    And 3 s pass
    Then the guarantees hold

  Scenario: Two of three witnesses are lost
    Given a mesh of 6 members
    When two witnesses of member 1 are lost
    Then every slice is served within 3 s
    And the guarantees hold

  Scenario: A member is lost with two of its witnesses
    Given a mesh of 6 members
    When two witnesses of member 1 are lost
    And member 1 is lost
    And 3 s pass
    Then no member serves the slices of the lost member
    And every slice is served within 40 s
    And the guarantees hold

  Scenario: All members are paused at once
    Given a mesh of 3 members
    When member 1 is paused
    And member 2 is paused
    And member 3 is paused
    And 45 s pass
    And member 1 resumes
    And member 2 resumes
    And member 3 resumes
    Then every slice is served within 40 s
    And the guarantees hold

  Scenario: Two of three daemons are restarted in place
    Given a mesh of 3 members
    When member 1 is restarted
    And member 2 is restarted
    Then every slice is served within 4 s
    And the guarantees hold

  Scenario: The join of a run that has ended reaches the log late
    Given a mesh of 4 members
    When each call to the log takes 0.5 s
    And member 2 is restarted
    And 0.7 s pass
    And member 2 is restarted
    And each call to the log takes 0.005 s
    Then every slice is served within 8 s
    And 40 s later no member is without witnesses
