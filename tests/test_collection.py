"""No test is lost while packages and tests are renamed and moved.

`tests/data/collected_before.txt` holds the ids of all tests as `pytest --collect-only -q` listed them at d16e519. A
test may move to any module. One whose function is renamed is entered in RENAMED, from its old name to its new one.
"""

import ast
import collections
import pathlib
import subprocess
import sys

import pytest

TESTS = pathlib.Path(__file__).parent
BEFORE = (TESTS / "data" / "collected_before.txt").read_text(encoding="utf-8").splitlines()
RENAMED: dict[str, str] = {
    "test_no_order_breaks_anything": "test_no_order_of_events_violates_an_invariant",
    "test_an_answer_is_not_lost_with_what_its_client_sends_in_that_moment": (
        "test_a_reply_is_not_lost_if_its_client_sends_data_at_that_moment"
    ),
    "test_a_request_that_is_read_before_our_half_is_shut_is_refused_and_not_sent_on": (
        "test_a_request_that_is_read_before_our_write_side_closes_is_rejected"
    ),
    "test_what_cannot_be_read_gets_its_error_line_and_a_clean_end": (
        "test_malformed_input_gets_an_error_line_and_a_clean_close"
    ),
    "test_a_client_that_never_ends_its_half_is_gone_after_the_stated_time": (
        "test_a_client_that_never_closes_its_write_side_is_aborted_after_the_timeout"
    ),
    "test_one_that_goes_on_sending_while_it_is_closed_is_cut_off": (
        "test_a_client_that_keeps_sending_while_it_is_closed_is_aborted"
    ),
    "test_at_the_cap_room_is_made_by_a_clean_end_and_closing_connections_have_a_cap_of_their_own": (
        "test_at_the_limit_an_idle_connection_is_closed_cleanly_and_closing_ones_have_their_own_limit"
    ),
    "test_what_a_slow_reader_has_not_read_yet_is_still_written_when_its_connection_ends": (
        "test_pending_replies_of_a_slow_reader_are_written_before_its_connection_closes"
    ),
    "test_at_the_drains_end_each_connection_gets_its_answer_however_many_there_are": (
        "test_at_the_end_of_the_drain_each_connection_gets_its_reply"
    ),
    "test_a_client_for_which_there_is_no_room_is_told_so_and_its_connection_ends_cleanly": (
        "test_a_client_beyond_the_connection_limit_is_rejected_and_closed_cleanly"
    ),
    "test_a_client_that_sends_without_end_and_reads_nothing_is_held_to_little_and_cut_off": (
        "test_a_client_that_floods_and_never_reads_uses_little_memory_and_is_aborted"
    ),
    "test_a_client_that_reads_is_not_cut_off_where_its_full_buffer_was_written_to_twice": (
        "test_a_reading_client_is_not_aborted_after_two_writes_to_its_full_buffer"
    ),
    "test_one_that_ended_or_spoke_while_it_was_idle_carries_nothing_more": (
        "test_a_connection_that_closed_or_received_bytes_while_idle_is_not_reused"
    ),
    "test_one_that_was_idle_for_too_long_is_not_used_even_where_no_timer_has_run_yet": (
        "test_a_connection_past_its_idle_timeout_is_not_reused_even_before_the_sweep"
    ),
    "test_a_second_copy_while_it_rests_ends_it": "test_an_unsolicited_response_closes_an_idle_connection",
    "test_a_fit_finds_what_made_the_figures": "test_a_fit_recovers_the_coefficients_of_its_data",
    "test_errors_of_a_fit_are_those_of_the_textbook_and_too_few_sizes_are_refused": (
        "test_fit_errors_match_the_textbook_formulas_and_too_few_sizes_are_rejected"
    ),
    "test_a_prediction_is_kept_before_the_largest_size_and_held_against_it": (
        "test_a_prediction_is_stored_before_the_largest_size_and_compared_with_it"
    ),
    "test_a_row_is_strained_where_clients_send_late_and_not_where_answers_are": (
        "test_a_row_is_strained_if_clients_send_late_but_not_if_responses_are_late"
    ),
    "test_each_axis_doubles_three_times_at_least_and_ends_at_the_planned_size": (
        "test_each_axis_doubles_at_least_three_times_and_ends_at_the_planned_size"
    ),
    "test_datagrams_are_told_by_purpose_as_the_program_writes_them": (
        "test_datagrams_are_classified_by_purpose_as_the_gateway_encodes_them"
    ),
    "test_what_crosses_the_border_of_a_zone_that_is_cut_off": (
        "test_which_datagrams_cross_the_border_of_an_isolated_zone"
    ),
    "test_the_highest_row_that_grew": "test_highest_histogram_bucket_that_grew",
    "test_files_of_a_fleet_are_of_its_size_and_a_change_is_one_route": (
        "test_files_match_the_fleet_size_and_a_change_adds_one_route"
    ),
    "test_a_small_fleet_knows_itself_says_no_more_than_it_should_and_leaves_nothing_behind": (
        "test_a_small_fleet_converges_stays_within_its_message_budget_and_leaves_nothing_behind"
    ),
    "test_a_fleet_that_can_not_start_says_why_and_ends_all_that_it_began": (
        "test_a_fleet_that_cannot_start_reports_why_and_terminates_its_processes"
    ),
    "test_what_does_not_fit_the_machine_is_not_begun": "test_a_fleet_too_large_for_the_machine_is_not_started",
    "test_processes_end_with_the_one_that_began_them": "test_child_processes_end_with_their_parent",
    "test_what_adds_up_is_added_up_and_crossed_where_it_is": (
        "test_estimates_are_sums_over_the_axes_and_crossings_lie_on_them"
    ),
    "test_slope_that_is_not_sure_adds_nothing_and_its_error_counts": (
        "test_an_insignificant_slope_adds_nothing_but_its_error_counts"
    ),
    "test_crossing_is_the_first_and_says_where_there_is_none": (
        "test_the_first_crossing_is_returned_and_a_missing_one_is_reported"
    ),
    "test_change_of_settings_is_told_by_bytes_through_what_was_measured": (
        "test_cost_of_a_settings_change_is_a_line_by_bytes_through_the_measurements"
    ),
    "test_fit_by_the_inverse_adds_what_it_says": "test_an_inverse_fit_adds_its_difference",
    "test_figures_of_two_sizes_are_read_between_them": "test_figures_of_two_sizes_are_interpolated",
    "test_connections_are_those_of_requests_by_chance": "test_connections_match_simulated_poisson_requests",
    "test_each_gatekeeper_knows_as_many_and_none_twice": (
        "test_each_gateway_gets_a_subset_of_the_right_size_without_duplicates"
    ),
    "test_ways_are_as_even_and_as_steady_as_they_are_known_for": (
        "test_subsetting_strategies_have_their_known_evenness_and_stability"
    ),
    "test_loss_of_a_zone_leaves_who_knows_few": "test_fraction_of_gateways_short_of_workers_after_the_loss_of_a_zone",
    "test_queue_model_gives_what_is_known_of_it": "test_queueing_model_matches_known_results",
    "test_module_passes_what_is_stated_of_regions_apart": (
        "test_simulated_partition_of_regions_stays_within_the_stated_bound"
    ),
    "test_quota_holds_where_homes_are_far": "test_quota_holds_with_distant_quota_owners",
    "test_bound_is_passed_where_credit_is_not_held_back": "test_unlimited_credit_exceeds_the_bound",
    "test_worst_is_worse_and_wide_sets_are": "test_the_worst_case_and_wider_sets_have_higher_bounds",
    "test_home_that_is_away_serves_none_of_its_tenants_until_it_is_known": (
        "test_tenants_of_a_failed_owner_are_not_served_until_its_failure_is_known"
    ),
    "test_at_twice_the_planned_peak_no_question_waits_for_company": (
        "test_at_twice_the_planned_peak_no_quota_request_waits_for_a_batch"
    ),
    "test_bytes_on_the_wire_are_those_of_whole_datagrams": (
        "test_bytes_on_the_wire_include_the_overhead_of_each_datagram"
    ),
    "test_resending_ends_when_hardly_any_lacks_it": "test_retransmission_ends_when_few_receivers_are_missing",
    "test_rounds_until_all_know_grow_as_a_logarithm": "test_dissemination_rounds_grow_logarithmically",
    "test_ways_that_carry_files_need_their_sizes": "test_methods_that_send_files_need_their_sizes",
    "test_warming_is_measured_by_size": "test_endpoint_list_cost_is_measured_by_size",
    "test_page_says_what_the_committed_results_say": "test_page_matches_the_committed_results",
    "test_page_differs_where_a_result_does": "test_page_changes_with_a_result",
    "test_page_is_written_whole_and_again_the_same": "test_rewriting_the_page_is_complete_and_idempotent",
    "test_what_is_not_there_is_said_in_its_cell": "test_a_missing_figure_is_reported_in_its_cell",
    "test_a_part_that_failed_is_said": "test_a_failed_part_is_reported",
    "test_times_of_a_strained_machine_are_called_so": "test_times_of_a_strained_machine_are_marked",
    "test_a_short_run_of_all_axes_is_called_a_trial": "test_a_short_run_of_all_axes_is_marked_as_a_trial",
    "test_whole_run_further_off_than_a_quarter_is_said": (
        "test_a_full_run_that_deviates_by_more_than_a_quarter_is_reported"
    ),
    "test_prediction_off_by_more_than_a_quarter_is_listed_with_why": (
        "test_a_prediction_off_by_more_than_a_quarter_is_listed_with_its_reason"
    ),
    "test_order_of_work_has_the_least_part_of_the_plan_first": "test_crossings_are_sorted_by_the_fraction_of_the_plan",
    "test_prose_names_no_figure_of_its_own": "test_prose_uses_only_figures_of_the_plan_and_the_tables",
    "test_mechanisms_are_where_the_page_says": "test_files_and_classes_named_on_the_page_exist",
    "test_each_role_has_a_cell_for_each_trouble": "test_each_role_has_a_cell_for_each_fault",
    "test_marks_that_do_not_fit_are_one_clear_fault": "test_mismatched_table_marks_raise_a_clear_error",
    "test_conclusions_follow_from_the_results": "test_conclusions_of_the_page_follow_from_the_results",
    "test_each_day_stands_beside_the_last_of_its_seed_and_a_broken_rule_is_named": (
        "test_each_day_is_compared_with_the_last_of_its_seed_and_broken_rules_are_named"
    ),
    "test_entries_of_other_commands_and_of_scores_without_a_gate_are_passed_over": (
        "test_entries_of_other_commands_and_scores_without_a_gate_are_ignored"
    ),
    "test_without_the_users_bench_it_says_so_in_one_line": "test_without_the_bench_one_line_reports_it",
    "test_all_deployments_are_there_to_play": "test_all_deployments_exist",
    "test_a_table_made_by_changes_is_as_one_made_at_once": "test_an_edited_table_equals_one_built_at_once",
    "test_nodes_off_the_changed_path_are_shared_and_empty_ones_go": (
        "test_nodes_off_the_edited_path_are_shared_and_empty_ones_removed"
    ),
    "test_as_many_parts_stay_as_can": "test_as_many_groups_as_possible_remain",
    "test_a_key_more_copies_one_shard": "test_adding_a_key_copies_one_shard",
    "test_ties_follow_the_order_of_parts_whatever_stood_before": (
        "test_ties_follow_the_order_of_groups_whatever_their_order_was_before"
    ),
    "test_orders_made_wrong_are_found": "test_wrong_orders_are_detected",
    "test_check_names_a_worker_and_the_log_ends_the_attempt": (
        "test_a_check_returns_an_endpoint_and_the_log_ends_the_attempt"
    ),
    "test_further_check_gets_the_next_attempt_elsewhere": "test_a_further_check_gets_an_attempt_at_another_endpoint",
    "test_what_cannot_be_mapped_is_denied": "test_requests_without_a_route_or_key_are_denied",
    "test_same_request_id_by_two_proxies_goes_out_once": "test_a_request_id_from_two_proxies_is_executed_once",
    "test_log_that_is_doubled_or_unknown_changes_nothing": "test_duplicate_and_unknown_logs_change_nothing",
    "test_attempt_of_an_earlier_life_is_failed_without_a_promise": (
        "test_an_attempt_of_an_earlier_incarnation_fails_and_may_have_executed"
    ),
    "test_compressed_large_and_unknown_calls_are_refused_by_status": (
        "test_compressed_large_and_unknown_calls_are_rejected_by_status"
    ),
    "test_jsonrpc_call_is_carried_out": "test_jsonrpc_call_is_executed",
    "test_jsonrpc_batches_notifications_and_faults": "test_jsonrpc_batches_notifications_and_errors",
    "test_standstill_of_our_own_loses_no_answer": "test_a_stall_of_the_process_loses_no_response",
    "test_a_line_too_long_gets_its_error_and_a_clean_end_though_more_is_on_its_way": (
        "test_a_line_that_is_too_long_gets_an_error_and_a_clean_close_while_more_data_arrive"
    ),
    "test_drain_finishes_what_was_begun_and_refuses_what_is_new": (
        "test_a_drain_finishes_open_requests_and_rejects_new_ones"
    ),
    "test_connection_is_used_again": "test_a_connection_is_reused",
    "test_dead_idle_connection_is_no_failed_request": "test_a_dead_idle_connection_fails_no_request",
    "test_idle_connections_are_closed_and_capped": "test_idle_connections_are_closed_and_limited",
    "test_time_out_and_what_it_proves": "test_a_timeout_before_and_after_the_request_was_written",
    "test_a_worker_that_has_a_name_is_reached_at_whatever_address_it_has": (
        "test_an_endpoint_with_a_host_name_is_reached_at_its_resolved_address"
    ),
    "test_refused_connection_never_ran": "test_a_refused_connection_proves_that_nothing_was_executed",
    "test_connection_lost_before_headers_in_them_and_in_the_body": (
        "test_connection_lost_before_and_within_headers_and_body"
    ),
    "test_garbage_is_an_error_and_closes": "test_a_malformed_response_is_an_error_and_closes_the_connection",
    "test_interim_answers_are_passed_over_and_unasked_bytes_close": (
        "test_interim_responses_are_skipped_and_unsolicited_bytes_close_the_connection"
    ),
    "test_one_that_never_speaks_is_closed_and_a_slow_writer_is_served": (
        "test_a_silent_client_is_closed_and_a_slow_writer_is_served"
    ),
    "test_one_that_never_reads_is_cut_off_alone": "test_a_client_that_never_reads_affects_no_other",
    "test_check_by_an_independent_http2": "test_a_check_by_an_independent_http2_client",
    "test_grpc_time_out_ends_a_held_check_and_takes_the_request_back": (
        "test_a_grpc_timeout_ends_a_queued_check_and_its_request"
    ),
    "test_worker_fails_after_the_check_said_yes": "test_endpoint_fails_after_the_check_was_allowed",
    "test_check_ahead_of_its_log_waits_for_it": "test_a_check_before_the_log_of_its_attempt_waits_for_the_log",
    "test_proxy_out_of_time_while_our_ok_is_on_the_wire": "test_proxy_timeout_while_the_check_response_is_in_transit",
    "test_unsent_is_no_proof_where_two_asked_with_one_id": (
        "test_a_denial_proves_nothing_if_two_checks_had_one_request_id"
    ),
    "test_no_log_in_time_may_have_run": "test_an_attempt_without_a_log_may_have_been_executed",
    "test_late_log_of_a_request_that_has_its_answer_closes_the_books": (
        "test_a_late_log_of_an_answered_request_ends_its_attempt"
    ),
    "test_proxy_that_does_not_ask_again_gets_nothing_more": (
        "test_a_proxy_without_a_further_check_gets_no_further_attempt"
    ),
    "test_send_that_waited_for_its_check_is_decided_anew_if_its_worker_drains": (
        "test_a_withheld_attempt_is_decided_again_if_its_endpoint_drains"
    ),
    "test_client_leaves_while_held": "test_client_disconnects_while_queued",
    "test_client_gone_midway_ends_the_request": "test_client_disconnect_during_an_attempt_ends_the_request",
    "test_full_ledger_turns_away_at_once": "test_a_full_request_table_rejects_at_once",
    "test_every_request_is_answered_before_its_time_whatever_is_lost": (
        "test_every_request_is_answered_before_its_deadline_without_any_logs"
    ),
    "test_after_a_standstill_the_answers_in_our_sockets_come_before_wake_ups": (
        "test_after_a_stall_responses_in_the_socket_buffers_precede_timers"
    ),
    "test_module_that_raises_leaves_nobody_unanswered": "test_a_controller_error_fails_all_open_requests",
    "test_outcome_table_of_the_operators_page_is_the_code": "test_outcome_table_of_the_operators_page_matches_the_code",
    "test_second_copies_and_cancels_on_our_own_connections": (
        "test_hedged_attempts_and_cancellation_over_own_connections"
    ),
    "test_proxies_are_never_asked_for_a_second_copy": "test_delegated_requests_are_never_hedged",
    "test_a_turn_is_bounded_and_serves_all_lines_in_turn": "test_an_iteration_is_bounded_and_serves_all_queues_in_turn",
    "test_peers_messages_that_no_turn_takes_in_are_dropped_at_their_cap": (
        "test_peer_messages_above_the_queue_limit_are_dropped"
    ),
    "test_an_answer_that_is_due_while_a_turn_is_cut_is_given_in_time": (
        "test_a_response_that_is_due_while_iterations_are_cut_short_is_sent_in_time"
    ),
    "test_an_action_that_cannot_be_carried_out_takes_nothing_else_with_it": (
        "test_an_action_that_fails_does_not_affect_other_requests"
    ),
    "test_bytes_of_accounts_are_near_what_the_allocator_counts": (
        "test_estimated_bytes_of_accounts_are_close_to_the_allocated_ones"
    ),
    "test_a_report_costs_the_same_however_much_is_kept": (
        "test_a_memory_report_costs_the_same_for_any_number_of_entries"
    ),
    "test_the_collector_walks_old_things_only_when_little_is_held": (
        "test_full_collections_run_only_while_few_requests_are_open"
    ),
    "test_what_a_change_of_settings_leaves_is_walked_again_once_a_day": (
        "test_objects_frozen_after_a_settings_change_are_collected_once_a_day"
    ),
    "test_a_batch_of_ten_thousand_log_entries_holds_up_no_check": (
        "test_ten_thousand_log_entries_at_once_delay_no_check"
    ),
    "test_a_client_that_is_worked_on_is_not_read_from": "test_a_client_is_not_read_from_while_its_message_is_processed",
    "test_a_port_that_cannot_be_had_ends_the_start_at_whatever_step": (
        "test_an_error_in_any_step_of_the_start_ends_the_process"
    ),
    "test_calls_that_lay_unread_when_the_drain_began_have_an_answer": (
        "test_calls_that_were_unread_when_the_drain_began_are_answered"
    ),
    "test_a_drain_that_ends_with_a_call_open_answers_it": "test_an_open_call_is_answered_when_the_drain_times_out",
    "test_what_may_change": "test_which_settings_may_change_while_running",
    "test_live": "test_changes_and_rejections_of_a_running_process",
    "test_what_was_spent_stays_spent_and_what_is_here_keeps_its_class": (
        "test_a_change_keeps_spent_quota_and_the_class_of_earlier_requests"
    ),
    "test_no_order_of_writes_hang_ups_turns_and_stops_breaks_a_promise": (
        "test_invariants_hold_in_any_order_of_writes_reloads_iterations_and_stops"
    ),
    "test_requests_go_first_and_settings_get_their_turn_all_the_same": (
        "test_requests_have_priority_and_reloads_still_progress"
    ),
    "test_a_change_is_in_force_whole_with_its_version_and_digest": (
        "test_a_change_is_applied_as_a_whole_with_its_version_and_digest"
    ),
    "test_a_bad_change_is_refused_whole_and_the_next_good_one_is_taken": (
        "test_an_invalid_change_is_rejected_as_a_whole_and_the_next_valid_one_applied"
    ),
    "test_the_digest_of_files_is_the_one_of_the_version_that_they_come_to": (
        "test_the_digest_command_prints_the_digest_of_the_version"
    ),
    "test_the_file_of_a_service_that_is_taken_away_takes_its_routes_with_it": (
        "test_removing_the_file_of_a_service_removes_its_routes"
    ),
    "test_a_folder_that_can_not_be_listed_takes_no_routes_away": "test_an_unreadable_folder_removes_no_routes",
    "test_files_that_are_written_all_the_time_are_told_so": "test_a_file_that_changes_during_every_read_is_reported",
    "test_a_file_that_vanishes_between_its_finding_and_its_reading_costs_one_reading_more": (
        "test_a_file_that_is_removed_before_it_is_read_causes_one_more_read"
    ),
    "test_hang_ups_during_a_reading_are_one_more": "test_reload_requests_during_a_read_cause_one_more_read",
    "test_a_hang_up_while_it_drains_and_a_drain_while_it_reads_change_nothing": (
        "test_a_reload_during_a_drain_and_a_drain_during_a_reload_change_nothing"
    ),
    "test_what_nobody_foresaw_leaves_the_old_version_and_the_next_hang_up_works": (
        "test_an_unexpected_exception_keeps_the_version_and_the_next_reload_works"
    ),
    "test_a_version_that_is_no_longer_in_force_is_let_go_by_reference_counts": (
        "test_an_outdated_version_is_freed_by_reference_counting"
    ),
    "test_the_module_hears_of_its_own_settings_only_and_before_what_arrives_after_them": (
        "test_the_controller_receives_only_its_own_settings_and_before_later_arrivals"
    ),
    "test_what_became_of_a_request_is_told_by_the_class_that_it_came_with": (
        "test_an_outcome_is_reported_by_the_class_that_the_request_arrived_with"
    ),
    # The limit of the module's lines was lifted by the users; each file of policy/ has a limit instead.
    "test_size_limits": "test_policy_modules_are_small",
    "test_a_pulse_tells_whose_time_it_was": "test_event_loop_monitor_names_the_cause_of_each_lateness",
    "test_ordinary_request_is_sent_and_ends": "test_an_ordinary_request_is_dispatched_and_ends",
    "test_error_is_tried_again_elsewhere_if_safe_and_failed_if_unsafe": (
        "test_an_error_is_retried_elsewhere_if_idempotent_and_fails_otherwise"
    ),
    "test_unsafe_is_tried_again_when_it_never_ran": "test_a_non_idempotent_request_is_retried_if_it_was_never_executed",
    "test_a_disproved_attempt_does_not_clear_one_that_may_have_run": (
        "test_an_overload_response_does_not_rule_out_that_an_earlier_attempt_was_executed"
    ),
    "test_odd_rounds_are_handled": "test_unusual_event_batches_are_handled",
    "test_held_without_servers_is_refused_before_its_time_is_up": (
        "test_a_request_queued_without_endpoints_is_rejected_before_its_deadline"
    ),
    "test_held_work_is_given_up_before_its_aim_where_a_late_answer_is_worth_something": (
        "test_a_queued_request_is_shed_before_its_latency_objective_even_if_late_responses_have_priority"
    ),
    "test_peer_bytes_that_cannot_be_read_change_nothing": "test_malformed_peer_messages_change_nothing",
    "test_messages_survive_a_round_trip_and_stay_small": (
        "test_peer_messages_survive_a_round_trip_within_the_size_limit"
    ),
    "test_settings_that_cannot_be_right_are_named": "test_invalid_settings_are_named",
    "test_plans_and_classes_that_cannot_be_right_are_named": "test_invalid_plans_and_classes_are_named",
    "test_fuzzy_surface_is_the_diagonal_table": "test_the_fuzzy_output_follows_the_diagonal_rule_base",
    "test_late_by_its_own_doing_is_a_breach_with_its_timeline": "test_a_late_response_is_a_breach_with_its_timeline",
    "test_time_that_the_machine_took_is_taken_off": "test_stalls_of_the_machine_are_deducted_from_the_lateness",
    "test_stalls_of_other_gatekeepers_and_of_other_times_excuse_nothing": (
        "test_stalls_of_other_instances_and_at_other_times_excuse_nothing"
    ),
    "test_two_that_stood_in_one_look_count_once_and_never_for_more_than_the_look": (
        "test_two_stalls_in_one_sample_count_once_and_for_no_more_than_the_sample"
    ),
    "test_more_late_than_the_machine_accounts_for_is_a_breach": (
        "test_lateness_beyond_the_stalls_of_the_machine_is_a_breach"
    ),
    "test_causes_of_lateness_add_up": "test_the_causes_of_lateness_add_up",
    "test_kernel_line": "test_parsing_a_schedstat_line",
    "test_auditor_sees_a_guard_that_is_out": "test_the_auditor_detects_a_disabled_safeguard",
    "test_a_known_stall_is_in_the_tail_that_a_closed_loop_hides": (
        "test_a_stall_shows_in_the_tail_of_the_open_loop_but_not_of_a_closed_one"
    ),
    "test_each_process_has_its_part_of_every_burst": "test_each_process_sends_its_share_of_every_burst",
    "test_a_sender_that_cannot_keep_up_says_so": "test_a_sender_that_falls_behind_is_reported",
    "test_too_many_open_are_not_sent_and_counted": (
        "test_requests_beyond_the_limit_of_open_ones_are_counted_as_not_sent"
    ),
    "test_a_trace_against_a_gatekeeper_over_both_fronts": "test_a_trace_is_sent_to_an_instance_over_both_frontends",
    "test_classes_without_a_plain_route_are_refused": "test_classes_without_a_route_free_of_parameters_are_rejected",
    "test_a_late_class_gains_share_and_an_early_one_keeps_it": (
        "test_a_class_with_long_delays_gains_share_and_one_with_short_delays_keeps_it"
    ),
    "test_learned_answer_time_cannot_lock_a_class_out": (
        "test_a_long_expected_response_time_cannot_shed_a_class_for_good"
    ),
    "test_window_is_shared_out_over_gateways": "test_the_concurrency_limit_is_divided_among_gateways",
    "test_a_cap_of_less_than_one_leaves_room_for_chance_but_not_for_a_steady_excess": (
        "test_a_limit_below_one_allows_bursts_but_no_lasting_excess"
    ),
    "test_below_the_cap_nothing_is_held_and_at_it_the_worthiest_leave_first": (
        "test_at_the_limit_the_request_of_the_highest_priority_is_dispatched_first"
    ),
    "test_cap_on_attempts_out_is_kept_by_the_home_for_all_gateways": (
        "test_the_quota_owner_limits_requests_in_flight_over_all_gateways"
    ),
    "test_home_lends_to_all_gateways_together_no_more_than_the_quota": (
        "test_the_quota_owner_grants_all_gateways_together_no_more_than_the_quota"
    ),
    "test_a_clients_repeat_leaves_a_reserve_to_first_tries": "test_a_clients_retry_leaves_a_reserve_for_first_requests",
    "test_a_silent_home_is_asked_again_and_then_one_request_goes_on_credit": (
        "test_an_unresponsive_owner_is_sent_the_request_again_and_then_one_overdraft_is_granted"
    ),
    "test_with_short_aims_credit_still_comes_before_a_request_is_given_up": (
        "test_with_short_latency_objectives_the_overdraft_comes_before_the_request_is_shed"
    ),
    "test_without_peers_nobody_is_asked_and_credit_is_given_at_once": (
        "test_without_peer_messages_no_owner_is_asked_and_an_overdraft_is_granted_at_once"
    ),
    "test_a_home_that_is_silent_among_many_that_speak_is_asked_on_and_gives_no_credit": (
        "test_no_overdraft_is_granted_for_an_unresponsive_owner_while_most_peers_respond"
    ),
    "test_what_was_granted_and_not_used_goes_back": "test_units_that_were_granted_and_not_used_are_refunded",
    "test_cold_server_is_bounded_over_hundreds_of_gateways_even_after_a_stall": (
        "test_attempts_at_a_warming_up_endpoint_are_bounded_over_hundreds_of_gateways_even_after_a_stall"
    ),
    "test_fast_failer_does_not_attract_load": "test_an_endpoint_that_fails_fast_does_not_attract_load",
    "test_only_the_home_is_told_and_nothing_without_news": (
        "test_only_the_quota_owner_is_sent_messages_and_none_without_a_request"
    ),
    "test_a_customer_that_repeats_without_end_leaves_room_in_its_homes_inbox": (
        "test_a_customer_far_beyond_its_quota_does_not_fill_its_owners_inbox"
    ),
    "test_work_for_one_request_does_not_grow_with_the_gateways": (
        "test_the_actions_per_request_do_not_grow_with_the_gateways"
    ),
    "test_discovery_that_must_be_asked_is_asked_and_asked_again": (
        "test_a_subscription_is_requested_and_renewed_after_a_failed_list"
    ),
    "test_a_server_that_refuses_at_once_draws_no_load_and_does_not_close_the_window": (
        "test_an_endpoint_that_rejects_at_once_attracts_no_load_and_does_not_reduce_the_limit"
    ),
    "test_an_old_report_of_an_idle_server_draws_no_herd": (
        "test_an_old_report_of_an_idle_endpoint_does_not_attract_a_herd"
    ),
    "test_a_server_that_has_just_told_of_a_free_place_is_compared_though_chance_passes_it_by": (
        "test_an_endpoint_with_a_recent_report_is_compared_even_if_it_is_not_sampled"
    ),
    "test_a_crowded_server_is_not_taken_for_a_slow_one": "test_a_loaded_endpoint_does_not_count_as_slow",
    "test_a_server_that_was_given_large_requests_is_not_taken_for_a_slow_one": (
        "test_an_endpoint_with_large_requests_does_not_count_as_slow"
    ),
    "test_servers_are_compared_by_the_work_that_is_out_not_by_how_many_attempts": (
        "test_endpoints_are_compared_by_their_load_and_not_by_their_number_of_attempts"
    ),
    "test_a_server_that_restarts_under_its_old_id_keeps_its_count_of_attempts_out": (
        "test_an_endpoint_that_restarts_under_its_id_keeps_its_count_of_attempts_in_flight"
    ),
    "test_a_request_is_sent_on_and_the_end_of_input_exits_0": (
        "test_a_request_is_dispatched_and_the_end_of_input_exits_0"
    ),
    "test_what_cannot_be_read_is_named_and_ends_the_process": "test_an_invalid_message_is_named_and_ends_the_process",
    "test_a_fault_of_the_module_is_told_on_the_wire": (
        "test_an_exception_of_the_controller_is_reported_to_the_simulator"
    ),
    "test_rules_hold_over_random_days": "test_rules_hold_over_random_schedules",
    "test_rules_hold_when_gateways_die_all_the_time": "test_rules_hold_when_gateways_fail_often",
    "test_cold_server_gets_no_more_than_its_warmth_allows": (
        "test_an_endpoint_that_is_warming_up_gets_no_more_than_its_capacity_allows"
    ),
    "test_held_work_leaves_in_the_order_of_the_plain_way": (
        "test_queued_requests_are_dispatched_in_the_order_of_a_reference_queue"
    ),
    "test_what_left_held_work_is_thrown_away": "test_entries_of_removed_requests_are_dropped",
    "test_tries_at_home_are_served_in_the_order_of_the_plain_way": (
        "test_quota_requests_are_granted_in_the_order_of_a_reference_queue"
    ),
    "test_a_turn_costs_what_it_changes_and_not_what_is_held": (
        "test_the_cost_of_a_batch_does_not_depend_on_the_number_of_queued_requests"
    ),
    "test_all_clients_leaving_and_a_refill_let_everything_go": (
        "test_after_all_clients_have_disconnected_no_request_is_left"
    ),
    "test_quiet_customers_are_let_go_and_those_that_owe_are_kept": (
        "test_idle_accounts_are_evicted_and_those_in_use_are_kept"
    ),
    "test_a_home_keeps_a_store_with_a_lease_out_a_try_waiting_or_a_level_that_is_not_full": (
        "test_a_bucket_with_a_lease_or_a_low_level_is_not_evicted"
    ),
    "test_a_flood_of_names_is_refused_at_the_cap_and_pushes_out_nobody": (
        "test_a_flood_of_customers_is_rejected_at_the_limit_and_evicts_nobody"
    ),
    "test_a_server_that_leaves_is_looked_up_by_its_own_attempts": (
        "test_each_endpoint_knows_the_requests_with_an_attempt_at_it"
    ),
    "test_a_refill_lets_many_go_at_once_and_each_turn_stays_small": (
        "test_after_a_refill_many_requests_are_dispatched_in_small_batches"
    ),
    "test_all_due_in_one_millisecond_are_all_answered_in_that_turn": (
        "test_requests_with_the_same_deadline_are_all_answered_by_it"
    ),
    "test_the_ends_that_prove_that_nothing_ran_are_these_and_no_others": (
        "test_the_results_that_prove_that_nothing_was_executed_are_these_and_no_others"
    ),
    "test_a_break_before_the_last_byte_is_with_the_system_proves_that_it_never_ran": (
        "test_a_disconnection_before_the_last_byte_is_written_proves_that_nothing_was_executed"
    ),
    "test_a_time_out_before_the_last_byte_is_with_the_system_proves_that_it_never_ran": (
        "test_a_timeout_before_the_last_byte_is_written_proves_that_nothing_was_executed"
    ),
    "test_what_comes_before_the_last_byte_is_with_the_system_is_no_answer": (
        "test_bytes_that_arrive_before_the_last_byte_is_written_are_no_response"
    ),
    "test_half_a_line_between_the_look_at_a_resting_connection_and_the_write_serves_nobody": (
        "test_a_stray_response_on_an_idle_connection_at_the_time_of_the_write_is_sent_to_nobody"
    ),
    "test_a_connection_closed_by_its_worker_in_the_turn_in_which_we_write_never_ran": (
        "test_a_connection_closed_by_its_worker_in_the_iteration_of_the_write_executed_nothing"
    ),
    "test_a_break_after_the_last_byte_may_have_run": (
        "test_a_disconnection_after_the_last_byte_leaves_open_whether_it_was_executed"
    ),
    "test_an_answer_in_single_bytes_is_whole_and_one_after_our_time_out_is_nobodys": (
        "test_a_response_in_single_bytes_is_complete_and_one_after_the_timeout_is_dropped"
    ),
    "test_a_worker_that_moved_while_the_connection_was_made_is_not_written_to_at_its_old_address": (
        "test_a_worker_whose_address_changed_while_connecting_is_not_written_to_at_its_old_address"
    ),
    "test_an_attempt_whose_window_is_over_before_its_connection_is_up_is_not_begun": (
        "test_an_attempt_whose_window_ends_before_its_connection_is_made_is_not_started"
    ),
    "test_an_attempt_of_what_another_gatekeeper_has_taken_over_is_not_begun": (
        "test_an_attempt_of_a_request_that_was_transferred_to_a_backup_is_not_started"
    ),
    "test_a_connection_that_is_given_up_and_comes_up_after_all_is_not_written_to_and_counts_once": (
        "test_a_connection_that_is_made_after_its_attempt_was_cancelled_is_not_written_to_and_counts_once"
    ),
    "test_a_further_attempt_has_to_begin_inside_the_window_that_the_first_has_begun": (
        "test_a_retry_must_start_within_the_deduplication_window_of_the_first_attempt"
    ),
    "test_after_what_never_ran_the_window_begins_anew": (
        "test_after_an_attempt_that_was_never_executed_the_window_starts_anew"
    ),
    "test_a_list_between_the_choice_and_the_write_keeps_the_drain": (
        "test_an_attempt_is_discarded_if_its_endpoint_drains_between_the_choice_and_the_write"
    ),
    "test_byte_order_mark_crlf_and_no_final_end": "test_byte_order_mark_crlf_and_missing_final_newline",
    "test_bytes_that_are_no_utf8": "test_invalid_utf8",
    "test_a_warning_hides_no_line_that_is_missing": "test_missing_line_is_reported_beside_a_warning",
    "test_ends_in_the_middle_of_anything": "test_truncated_text_never_raises",
    "test_index_agrees_with_the_plain_way": "test_index_agrees_with_linear_search",
    "test_diff_of_routes_is_empty_exactly_when_no_request_tells_them_apart": (
        "test_diff_of_routes_is_empty_exactly_when_all_requests_are_routed_alike"
    ),
    "test_formatter_changes_no_meaning_and_settles_at_once": "test_formatter_preserves_meaning_and_is_idempotent",
    "test_explain_says_what_a_route_beat": "test_explain_lists_routes_of_lower_precedence",
    "test_examples_are_good_and_in_the_one_style": "test_examples_are_valid_and_formatted",
    "test_pages_are_what_the_tables_say": "test_pages_match_the_tables",
    "test_diff_by_meaning": "test_diff_is_semantic",
    "test_the_good_text_is_good": "test_valid_text_has_no_problems",
    "test_warned_of": "test_warnings_name_line_and_reason",
    "test_broken": "test_errors_name_line_and_reason",
    "test_after_any_changes_all_is_as_a_fresh_load_has_it": "test_incremental_load_equals_fresh_load_after_any_changes",
    "test_each_shortcut_made_wrong_is_found": "test_each_disabled_cache_check_is_detected",
    "test_no_step_does_more_than_a_little": "test_steps_are_short",
    "test_only_files_that_changed_are_read_into_records": "test_only_changed_files_get_new_records",
    "test_a_file_that_changes_while_it_is_read_is_read_again_and_then_refused": (
        "test_file_that_changes_while_it_is_read_is_retried_and_then_rejected"
    ),
    "test_a_message_shows_lines_of_the_bytes_that_were_judged": "test_message_shows_lines_of_the_checked_content",
    "test_what_is_put_in_anew_is_of_the_bytes_that_were_read": (
        "test_expansion_is_repeated_on_the_content_that_was_read"
    ),
    "test_a_file_that_comes_while_files_are_read_is_not_missed": "test_file_created_during_a_load_is_not_missed",
    "test_files_that_vanish_and_folders_that_cannot_be_read": "test_missing_files_and_unreadable_directories",
    "test_links_that_are_turned_as_a_whole_cost_nothing_where_bytes_are_as_before": (
        "test_switched_symlink_costs_nothing_if_contents_are_equal"
    ),
    "test_thousands_of_problems_are_counted_and_the_first_are_told": (
        "test_thousands_of_problems_are_counted_and_the_first_are_shown"
    ),
    "test_a_file_is_read_in_pieces_as_it_is_read_whole": "test_decoding_in_chunks_equals_decoding_at_once",
    "test_lines_are_capped_over_all_files": "test_line_limit_counts_all_files",
    # Membership, replication and locks.
    "test_a_request_that_another_gateway_had": "test_a_request_with_prior_attempts_of_another_instance",
    "test_units_that_were_drawn_are_not_drawn_again": "test_quota_units_of_a_taken_over_request_are_not_drawn_again",
    "test_an_attempt_leaves_when_the_guard_says_so_and_in_what_time_is_left": (
        "test_an_attempt_starts_when_the_guard_releases_it_with_the_remaining_time"
    ),
    "test_an_attempt_whose_worker_drains_meanwhile_is_decided_anew": (
        "test_an_attempt_whose_endpoint_drains_meanwhile_is_decided_again"
    ),
    "test_a_lost_request_is_failed_and_nothing_leaves_for_it": (
        "test_a_lost_request_fails_and_none_of_its_attempts_starts"
    ),
    "test_a_lost_request_passes_on_what_its_own_attempt_brings_and_asks_for_no_other": (
        "test_a_lost_request_delivers_the_response_of_its_own_attempt_and_starts_no_other"
    ),
    "test_a_refusal_waits_for_the_guard_and_is_failed_where_no_word_comes_in_time": (
        "test_a_rejection_awaits_the_guard_and_fails_at_the_deadline"
    ),
    "test_a_guard_that_wants_protection_has_nothing_counted": (
        "test_a_request_that_the_guard_cannot_protect_is_rejected"
    ),
    "test_a_record_of_another_version_or_class_is_no_record": (
        "test_a_record_of_another_version_or_unknown_class_is_not_decoded"
    ),
    "test_all_tries_of_one_name_get_the_one_answer_before_and_after_it_came": (
        "test_all_retries_of_one_identity_get_the_same_response"
    ),
    "test_a_try_whose_time_is_up_or_whose_way_is_free_waits_no_longer": (
        "test_a_retry_stops_waiting_at_its_deadline_or_when_the_other_request_ended"
    ),
    "test_answers_are_let_go_when_their_time_is_over": "test_stored_responses_are_evicted_when_they_expire",
    "test_killed_after_the_worker_ran_and_before_its_client_has_the_answer": (
        "test_killed_after_the_execution_and_before_the_client_has_the_response"
    ),
    "test_killed_after_the_keepers_word_and_before_the_attempt_leaves": (
        "test_killed_after_the_acknowledgement_and_before_the_attempt_starts"
    ),
    "test_killed_before_its_keeper_was_told_anything_it_runs_for_its_client_alone": (
        "test_killed_before_replication_the_request_is_executed_for_the_clients_retry_only"
    ),
    "test_a_keeper_on_a_quarter_of_a_core_costs_no_request": "test_a_backup_on_a_quarter_of_a_core_costs_no_request",
    "test_keepers_whose_datagrams_come_in_bursts_cost_no_request": (
        "test_backups_whose_datagrams_arrive_in_bursts_cost_no_request"
    ),
    "test_every_order_of_two_of_one_name_at_two_of_three": (
        "test_every_order_of_two_requests_of_one_identity_at_two_of_three_instances"
    ),
    "test_every_order_of_one_request_among_three": "test_every_order_of_one_request_among_three_instances",
    "test_of_two_that_keep_each_others_one_gives_way": "test_of_two_instances_that_are_each_others_backups_one_yields",
    "test_a_search_of_all_orders_finds_what_is_missing": "test_a_search_of_all_orders_detects_a_removed_safeguard",
    "test_random_orders_run_nothing_twice": "test_random_orders_execute_no_request_twice",
    "test_each_guard_taken_out_is_found": "test_the_removal_of_each_replication_safeguard_is_detected",
    "test_a_message_that_comes_when_all_is_over_begins_nothing": (
        "test_a_message_delayed_until_its_epoch_has_ended_has_no_effect"
    ),
    "test_a_bound_attempt_waits_for_the_keeper_and_a_safe_one_does_not": (
        "test_an_attempt_awaits_the_acknowledgement_unless_its_request_is_idempotent"
    ),
    "test_what_may_simply_run_again_is_told_after_a_while_and_not_at_all_where_it_has_ended_by_then": (
        "test_idempotent_requests_are_appended_after_a_delay_unless_completed_before"
    ),
    "test_late_ones_of_a_keeper_that_is_left_are_told_to_another": (
        "test_deferred_requests_of_a_released_backup_are_appended_to_another"
    ),
    "test_entries_packed_before_are_the_same_bytes": "test_entries_encoded_before_yield_the_same_bytes",
    "test_a_slow_keeper_is_left_for_another_by_the_witness": "test_a_slow_backup_is_replaced_after_the_witness_decides",
    "test_a_lost_entry_is_fed_again_while_others_follow_it": "test_a_lost_entry_is_sent_again_while_others_follow_it",
    "test_an_end_is_told_with_what_comes_next_or_with_a_sign_of_life": (
        "test_a_completion_is_sent_with_the_next_entry_or_heartbeat"
    ),
    "test_another_room_keeps_and_few_move_when_a_member_comes": (
        "test_backups_are_in_another_zone_and_few_change_when_a_member_joins"
    ),
    "test_a_keeper_that_hears_nothing_holds_so_much_at_most": "test_the_entries_of_an_unresponsive_backup_are_bounded",
    "test_what_was_turned_away_for_want_of_room_stays_so": (
        "test_a_request_declined_for_lack_of_capacity_stays_declined"
    ),
    "test_a_full_keeper_takes_no_more_and_what_it_turned_away_it_never_takes": (
        "test_a_backup_at_capacity_declines_requests_and_never_stores_them_later"
    ),
    "test_an_origin_whose_keeper_is_full_goes_on_without_and_tells_the_rest": (
        "test_a_primary_whose_backup_is_at_capacity_continues_and_sends_the_other_entries"
    ),
    "test_every_order_of_two_requests_where_a_keeper_has_room_for_one": (
        "test_every_order_of_two_requests_with_backup_capacity_for_one"
    ),
    "test_a_lease_decides_when_the_witness_is_asked_and_signs_of_life_keep_it": (
        "test_an_expired_lease_triggers_the_claim_and_heartbeats_renew_it"
    ),
    "test_messages_come_back_as_they_went": "test_messages_are_encoded_and_decoded",
    "test_noise_is_no_message_and_raises_nothing": "test_random_bytes_are_decoded_without_exceptions",
    "test_rows_merge_alike_in_every_order": "test_rows_merge_to_the_same_state_in_every_order",
    "test_rows_as_bytes": "test_rows_are_encoded_and_decoded",
    "test_all_know_of_a_start_a_death_a_leave_and_a_new_life": (
        "test_views_converge_after_a_start_a_crash_a_leave_and_a_restart"
    ),
    "test_loss_doubling_and_delay_accuse_nobody": "test_loss_duplication_and_delay_declare_no_member_dead",
    "test_one_that_stood_still_comes_back_and_accuses_nobody_for_long": (
        "test_a_paused_member_rejoins_and_declares_no_other_dead"
    ),
    "test_two_halves_that_were_cut_off_for_long_find_each_other_again": (
        "test_two_sides_of_a_long_partition_merge_again"
    ),
    "test_a_zone_that_was_cut_off_for_long_is_back_with_all_soon": "test_a_zone_rejoins_quickly_after_a_long_partition",
    "test_a_link_that_is_cut_one_way_accuses_nobody_others_reach": (
        "test_a_one_way_partition_of_a_link_declares_no_member_dead"
    ),
    "test_random_schedules_end_in_one_view": "test_views_converge_after_random_faults",
    "test_a_refutation_that_was_lost_is_told_again": "test_a_lost_refutation_is_sent_again",
    "test_messages_a_member_sends_do_not_grow_with_the_fleet": (
        "test_message_rate_of_a_member_does_not_grow_with_the_cluster"
    ),
    "test_what_was_said_of_an_earlier_life_changes_nothing": "test_rows_of_an_earlier_process_incarnation_are_ignored",
    "test_bytes_that_no_member_sent_change_nothing": "test_malformed_messages_and_rows_of_unknown_members_are_ignored",
    "test_ping_and_a_request_served_on_a_connection_that_is_used_again": (
        "test_requests_to_one_worker_reuse_its_connection"
    ),
    "test_answers_keep_the_order_of_the_commands": "test_replies_keep_the_order_of_commands",
    "test_what_cannot_be_used_touches_nobody_and_is_read_on_slowly": (
        "test_invalid_commands_get_errors_and_pause_parsing"
    ),
    "test_another_clients_open_id_is_refused_and_its_request_goes_on": (
        "test_duplicate_open_request_id_is_rejected_and_the_first_request_continues"
    ),
    "test_what_cannot_be_read_ends_the_connection_after_the_answers_of_all_before_it": (
        "test_protocol_error_ends_the_connection_after_earlier_replies"
    ),
    "test_commands_beyond_the_cap_on_open_ones_are_refused_in_their_place_and_the_connection_goes_on": (
        "test_commands_above_the_open_command_cap_are_rejected_in_order"
    ),
    "test_what_needs_nobody_is_answered_however_many_come_in_one_read": "test_all_pings_of_one_read_are_answered",
    "test_what_waits_behind_an_unfit_command_is_refused_where_there_is_no_room_for_it": (
        "test_commands_that_overflow_the_pause_buffer_are_rejected"
    ),
    "test_commands_read_while_the_connection_ends_are_answered_before_what_cannot_be_read": (
        "test_commands_received_while_closing_are_answered_before_the_protocol_error"
    ),
    "test_half_a_command_whose_rest_has_come_and_waits_is_not_overdue": (
        "test_partial_command_completed_during_a_pause_is_not_overdue"
    ),
    "test_half_a_command_is_not_overdue_while_nothing_is_read_of_its_sender": (
        "test_partial_command_is_not_overdue_while_reading_is_paused"
    ),
    "test_half_a_command_ends_the_connection_after_the_answers_before_it": (
        "test_overdue_partial_command_ends_the_connection_after_earlier_replies"
    ),
    "test_one_that_sends_noise_without_end_gets_what_is_owed_and_is_cut_off": (
        "test_endless_invalid_bytes_abort_the_connection_after_outstanding_replies"
    ),
    "test_answers_that_wait_have_a_cap_for_a_client_that_sends_without_end": "test_pending_replies_are_bounded",
    "test_silent_and_half_commands_are_cut_within_their_time": "test_silent_connections_and_partial_commands_time_out",
    "test_a_client_whose_reads_end_in_half_a_command_each_time_is_not_cut_while_commands_come": (
        "test_partial_command_timeout_restarts_with_each_completed_command"
    ),
    "test_where_there_are_many_connections_the_idle_ones_are_closed_after_their_time": (
        "test_idle_connections_above_the_threshold_are_closed"
    ),
    "test_at_the_cap_a_connection_that_says_nothing_makes_room_and_one_with_a_request_stays": (
        "test_connection_without_requests_is_closed_for_a_new_one_at_the_cap"
    ),
    "test_a_closing_connection_is_not_cut_off_while_answers_for_it_are_still_to_be_written": (
        "test_closing_connection_is_not_aborted_before_its_replies_are_written"
    ),
    "test_values_held_for_open_requests_have_a_cap_and_are_let_go": (
        "test_buffered_request_values_are_capped_and_released"
    ),
    "test_a_client_that_leaves_has_its_attempts_called_off": "test_disconnect_cancels_the_attempts_of_a_client",
    "test_a_request_is_due_before_its_time_is_up_by_as_much_as_it_may_have_waited_to_be_read": (
        "test_deadline_allows_for_the_read_delay"
    ),
    "test_the_end_serves_what_still_comes_and_closes_between_requests": (
        "test_drain_serves_late_requests_and_closes_idle_connections"
    ),
    "test_at_the_last_moment_all_that_is_open_gets_an_answer": "test_end_of_drain_fails_open_requests",
    "test_a_spoilt_answer_is_an_error_that_may_have_run_and_its_connection_ends": (
        "test_malformed_reply_is_an_error_and_aborts_the_connection"
    ),
    "test_an_answer_that_stalls_is_spoilt_well_before_the_time_is_up": (
        "test_stalled_reply_is_an_error_before_the_attempt_times_out"
    ),
    "test_more_than_one_answer_leaves_the_answer_and_ends_the_connection": (
        "test_bytes_after_a_reply_end_the_connection"
    ),
    "test_a_connection_shows_for_a_while_that_nothing_more_comes_before_it_is_used_again": (
        "test_connection_is_reused_only_after_the_quiet_period"
    ),
    "test_what_waits_unread_in_the_socket_ends_a_connection_instead_of_answering_the_next": (
        "test_unread_bytes_prevent_connection_reuse"
    ),
    "test_an_attempt_still_connecting_when_its_worker_leaves_is_not_begun": (
        "test_attempt_is_discarded_if_its_worker_drains_while_connecting"
    ),
    "test_a_worker_that_moved_or_left_keeps_no_connection": "test_connections_of_moved_or_removed_workers_are_closed",
    "test_with_no_room_for_a_connection_an_idle_one_of_another_worker_goes": (
        "test_idle_connection_of_another_worker_is_closed_at_the_pool_cap"
    ),
    "test_a_watch_that_ends_or_falls_silent_is_opened_again_from_what_is_known": (
        "test_ended_or_silent_watch_is_reopened_from_the_known_version"
    ),
    "test_a_watch_that_cannot_be_read_says_so_and_begins_anew": "test_invalid_watch_is_reported_and_reopened",
    "test_discovery_that_moves_is_followed_and_the_old_one_is_heard_no_more": (
        "test_discovery_address_change_closes_the_old_watch"
    ),
    "test_peers_are_known_by_their_address_and_nothing_longer_than_the_platform_allows_goes_out": (
        "test_peer_datagrams_are_checked_by_address_and_length"
    ),
    "test_commands_cut_at_every_byte_are_the_same": "test_commands_split_at_any_byte_are_parsed",
    "test_what_cannot_be_read_is_refused_when_it_is_read": (
        "test_invalid_commands_are_protocol_errors_when_they_are_read"
    ),
    "test_a_promised_length_holds_nothing": "test_announced_length_allocates_no_memory",
    "test_noise_is_a_fault_or_waits": "test_arbitrary_bytes_are_a_protocol_error_or_incomplete",
    "test_what_is_written_is_read_however_it_is_cut": "test_encoded_commands_are_parsed_however_they_are_split",
    "test_answers_cut_at_every_byte_are_the_same": "test_worker_replies_split_at_any_byte_are_parsed",
    "test_error_lines_and_what_they_prove": "test_error_replies_are_classified",
    "test_spoilt_answers_are_faults": "test_malformed_worker_replies_are_protocol_errors",
    "test_what_follows_an_answer_leaves_its_connection_unclean": (
        "test_bytes_after_a_reply_make_its_connection_unusable"
    ),
    "test_reports_go_by_name_and_what_cannot_be_read_is_as_none": (
        "test_load_reports_are_read_by_name_and_invalid_ones_are_ignored"
    ),
    "test_refusals_tell_when_to_come_back": "test_rejections_have_a_retry_delay",
    "test_a_request_is_read_and_goes_on_with_its_own_deadline": (
        "test_command_is_mapped_and_forwarded_with_the_remaining_timeout"
    ),
    "test_the_deadline_is_found_wherever_it_stands": "test_timeout_is_replaced_at_any_position_of_the_terms",
    "test_terms_that_cannot_be_used_are_named": "test_invalid_terms_are_rejected",
    "test_commands_that_cannot_be_used_are_named": "test_invalid_commands_are_rejected",
    "test_a_watch_is_read_line_by_line_however_it_is_cut": "test_watch_response_is_parsed_however_it_is_split",
    "test_a_watch_that_cannot_be_read_is_a_fault": "test_invalid_watch_response_is_a_discovery_error",
    "test_names_and_addresses_are_apart_and_old_news_changes_nothing": (
        "test_names_and_addresses_are_independent_and_outdated_changes_are_ignored"
    ),
    "test_the_configuration_is_read_whole": "test_configuration_is_parsed",
    "test_what_is_wrong_in_the_configuration_is_named": "test_configuration_errors_name_the_field",
    "test_the_environment_stands_in_for_addresses": "test_environment_provides_missing_addresses",
    "test_a_client_library_is_served_and_a_list_that_changes_is_followed": (
        "test_client_library_is_served_and_endpoint_changes_are_applied"
    ),
    "test_a_worker_that_goes_wrong_is_made_good_by_another": "test_failing_worker_is_compensated_by_another",
    "test_a_second_copy_is_never_the_next_ones_answer": "test_duplicate_reply_is_never_the_reply_to_the_next_request",
    "test_rude_clients_get_an_error_or_a_close_and_a_usual_one_beside_them_is_served": (
        "test_invalid_clients_get_an_error_or_a_close_and_valid_ones_are_served"
    ),
    "test_a_new_configuration_moves_discovery_and_a_broken_one_ends_nothing": (
        "test_reload_applies_a_new_discovery_address_and_ignores_invalid_configurations"
    ),
    "test_settings_may_grow_while_it_runs_and_what_peers_know_by_its_place_stays": (
        "test_reload_may_add_classes_and_keeps_the_order_that_peers_rely_on"
    ),
    "test_the_end_answers_what_was_taken_and_what_still_comes": "test_drain_answers_open_and_new_requests",
    "test_only_what_is_used_is_loaded": "test_only_used_modules_are_imported",
    "test_no_order_of_six_steps_breaks_a_promise": "test_no_order_of_six_steps_violates_a_rule",
    "test_a_life_goes_by_the_table": "test_lifecycle_follows_the_transitions",
    "test_all_is_answered_before_the_kill_that_follows_from_the_settings": (
        "test_drain_ends_before_the_kill_time_that_follows_from_the_settings"
    ),
    "test_other_settings_after_a_hang_up_have_their_own_kill": "test_kill_time_follows_reloaded_settings",
    "test_who_had_come_before_the_listener_closes_is_let_in": (
        "test_pending_connections_are_accepted_before_the_listener_closes"
    ),
    "test_a_signal_to_end_before_the_start_is_done_ends_it_well_and_it_never_listens": (
        "test_sigterm_during_the_start_ends_the_process_before_it_listens"
    ),
    "test_a_hang_up_before_the_start_is_done_ends_nothing_and_the_file_is_read_again": (
        "test_sighup_during_the_start_reloads_the_configuration"
    ),
    "test_two_signals_to_end_in_one_turn_are_one": "test_two_sigterms_in_one_iteration_count_as_one",
    "test_a_second_signal_later_answers_what_is_open_and_ends": (
        "test_second_sigterm_fails_open_requests_and_ends_the_process"
    ),
    "test_a_hang_up_in_the_drain_moves_discovery_and_ends_nothing": (
        "test_sighup_during_the_drain_applies_the_new_discovery_address"
    ),
    "test_with_short_deadlines_all_is_answered_and_the_process_gone_before_the_kill": (
        "test_with_short_deadlines_the_process_ends_before_the_kill_time"
    ),
    "test_an_unreadable_configuration_ends_it_before_it_listens_with_one_line": (
        "test_invalid_configuration_ends_the_start_with_one_line"
    ),
    "test_the_watch_gets_a_descriptor_where_idle_clients_hold_all_they_can": (
        "test_watch_gets_a_descriptor_while_idle_clients_hold_all_of_theirs"
    ),
    "test_of_ten_that_start_at_once_nine_are_ready_in_time_and_so_is_one_killed_under_its_clients": (
        "test_nine_of_ten_processes_started_at_once_are_ready_in_time_and_so_is_a_restarted_one"
    ),
    "test_a_reload_and_a_drain_in_any_order_take_the_file_in_and_answer_all": (
        "test_reload_and_drain_in_any_order_apply_the_file_and_answer_all_requests"
    ),
    "test_a_signal_to_end_that_comes_while_the_file_is_read_is_a_drain": (
        "test_sigterm_while_the_configuration_is_read_starts_a_drain"
    ),
    "test_a_request_on_a_connection_taken_before_or_in_the_drain_is_answered_or_not_sent_on": (
        "test_request_received_around_the_drain_is_answered_or_not_forwarded"
    ),
    "test_run_is_one_process_with_sockets_over_ipv4_only": "test_run_starts_one_process_with_ipv4_sockets_only",
    "test_run_imports_what_is_listed_and_no_more": "test_run_imports_listed_packages_only",
    "test_run_ends_soon_at_sigterm_with_what_it_had_answered": "test_run_ends_soon_after_sigterm",
    "test_what_a_silent_watch_misses_is_told_within_the_bound": (
        "test_change_missed_by_a_silent_watch_is_received_within_the_bound"
    ),
    "test_while_discovery_is_down_there_is_always_an_open_watch_for_what_it_tells_at_its_return": (
        "test_watch_stays_open_during_an_outage_of_discovery"
    ),
    "test_a_watch_that_is_well_is_left_alone": "test_healthy_watch_is_not_replaced",
    "test_one_that_ends_after_each_answer_is_not_asked_in_a_circle": (
        "test_watch_that_ends_after_each_response_is_reopened_with_backoff"
    ),
    "test_what_cannot_be_read_is_said_once_and_the_last_list_stays_in_force": (
        "test_repeated_invalid_response_is_reported_once"
    ),
    "test_an_indented_object_over_several_lines_is_one_change_however_it_is_cut": (
        "test_indented_object_is_one_change_however_it_is_split"
    ),
    "test_an_object_that_never_ends_has_a_cap": "test_object_size_is_limited",
    "test_a_discovery_that_counts_anew_from_below_is_asked_for_all_and_believed": (
        "test_restarted_version_numbers_lead_to_a_full_watch"
    ),
    "test_another_discovery_after_a_hang_up_has_versions_of_its_own": "test_new_discovery_address_resets_the_version",
    "test_an_answer_that_repeats_changes_nothing_and_one_that_skips_is_taken": (
        "test_repeated_versions_are_ignored_and_skipped_ones_are_accepted"
    ),
    "test_a_move_to_the_same_address_changes_nothing_and_two_at_once_leave_one_watch": (
        "test_address_changes_leave_one_watch"
    ),
    "test_a_move_before_the_start_opens_one_watch": "test_address_change_before_the_start_opens_one_watch",
    "test_request_and_response_round": "test_request_and_response_round_trip",
    "test_chunks_in_any_pieces": "test_chunked_body_is_decoded_however_it_is_split",
    "test_bodies_until_close_head_answers_and_interim_answers": (
        "test_bodies_until_close_head_responses_and_interim_responses"
    ),
    "test_what_is_no_message": "test_invalid_requests_are_rejected_with_a_status",
    "test_cut_off_in_the_middle": "test_connection_closed_within_a_message_is_an_error",
    "test_garbage_is_a_fault_or_waits": "test_arbitrary_bytes_are_an_error_or_incomplete",
    "test_headers_that_would_break_a_message_are_not_written": "test_invalid_headers_are_not_encoded",
    "test_jsonrpc_faults": "test_jsonrpc_error_codes",
    "test_lines": "test_line_splitter",
    "test_load_reports_that_cannot_be_read_are_none": "test_invalid_load_reports_are_ignored",
    "test_request_and_answer_with_trailers_by_an_independent_client": (
        "test_request_and_response_with_trailers_by_an_independent_client"
    ),
    "test_flow_control_holds_answers_back_and_lets_them_go": "test_flow_control_delays_and_resumes_responses",
    "test_large_uploads_are_given_window_as_they_are_read": "test_window_is_extended_as_large_uploads_are_read",
    "test_smaller_initial_window_reaches_open_streams": "test_smaller_initial_window_applies_to_open_streams",
    "test_padding_priority_and_continuation_are_read": "test_padding_priority_and_continuation_are_decoded",
    "test_bytes_one_by_one_are_the_same": "test_input_split_into_single_bytes_gives_the_same_events",
    "test_breaches_end_the_connection_with_the_code_of_the_rfc": (
        "test_protocol_violations_end_the_connection_with_the_code_of_the_rfc"
    ),
    "test_floods_cost_their_sender_the_connection": "test_frame_floods_end_the_connection",
    "test_resets_by_the_thousand_cost_their_sender_the_connection": "test_rapid_resets_end_the_connection",
    "test_endless_continuation_costs_its_sender_the_connection": "test_endless_continuation_ends_the_connection",
    "test_calm_comes_back_with_time_and_with_work": "test_frame_allowance_is_refilled_over_time",
    "test_streams_beyond_the_limit_are_refused_and_the_rest_goes_on": "test_streams_above_the_limit_are_refused",
    "test_headers_that_are_not_http_reset_their_stream_only": "test_malformed_headers_reset_only_their_stream",
    "test_a_peer_that_reads_nothing_loses_its_stream": "test_stream_is_reset_if_its_client_does_not_read",
    "test_reset_by_the_peer_is_told_and_late_frames_for_it_are_let_by": (
        "test_reset_by_the_client_is_reported_and_late_frames_are_ignored"
    ),
    "test_messages_come_out_whole_however_they_are_cut": "test_messages_are_decoded_however_they_are_split",
    "test_time_outs": "test_timeouts",
    "test_time_outs_that_cannot_be_read": "test_invalid_timeouts_are_rejected",
    "test_http1_without_upgrade_is_told_so_plainly": "test_http1_without_upgrade_is_answered_with_426",
    "test_a_proxy_that_gives_up_thousands_of_held_streams_keeps_its_connection": (
        "test_resets_of_thousands_of_long_open_streams_keep_the_connection"
    ),
    "test_key_that_reads_like_a_listed_customer_is_another_customer": (
        "test_api_key_equal_to_a_customer_name_is_another_customer"
    ),
    "test_owner_has_its_whole_quota_after_strangers_wrote_its_name": (
        "test_customer_keeps_its_quota_when_others_send_its_name_as_key"
    ),
    "test_tags_are_wide_keyed_and_the_same_at_every_gateway": (
        "test_customer_tags_are_wide_keyed_and_equal_at_every_gateway"
    ),
    "test_home_keeps_the_stores_of_names_with_one_checksum_apart": (
        "test_quota_owner_separates_customers_with_equal_checksums"
    ),
    "test_tags_that_meet_all_the_same_refuse_the_second_customer_and_share_nothing": (
        "test_colliding_customer_tags_reject_the_second_customer"
    ),
    "test_settings_with_a_secret_have_a_key_for_tags_that_no_report_shows": (
        "test_tag_key_is_derived_from_the_secret_and_not_shown"
    ),
    "test_odd_names_have_tags": "test_unusual_customer_names_have_tags",
    "test_request_id_of_one_customer_does_not_block_anothers": (
        "test_request_ids_of_different_customers_are_independent"
    ),
    "test_request_id_is_free_again_for_each_customer_alone": "test_request_id_is_released_for_each_customer_separately",
    "test_normal_form": "test_paths_are_normalized",
    "test_unclear_paths_are_refused": "test_ambiguous_paths_are_rejected",
    "test_no_raw_form_takes_another_route_than_its_normal_form": "test_equivalent_paths_take_the_same_route",
    "test_a_path_goes_on_in_the_form_in_which_it_was_judged": (
        "test_path_is_forwarded_in_the_form_in_which_it_was_routed"
    ),
    "test_checker_names_routes_that_never_match_and_raw_forms_that_slip_past": (
        "test_checker_reports_unmatchable_routes_and_paths_that_bypass_a_route"
    ),
    "test_two_headers_that_differ_in_case_only_are_refused": "test_headers_that_differ_only_in_case_are_rejected",
    "test_homes_are_spread_over_the_whole_fleet": "test_quota_owners_are_spread_over_all_gateways",
    "test_all_who_had_come_when_the_listener_closes_are_let_in": (
        "test_all_pending_connections_are_accepted_when_the_listener_closes"
    ),
    "test_however_many_come_in_one_look_they_hold_no_more_descriptors_than_the_caps_leave_them": (
        "test_connections_accepted_in_one_iteration_stay_within_the_descriptor_caps"
    ),
    "test_no_attempt_begins_for_a_client_whose_close_lies_unread": (
        "test_no_attempt_starts_for_a_client_whose_close_is_unread"
    ),
    "test_no_order_of_failed_refused_silent_and_given_up_calls_keeps_a_change_back": (
        "test_no_sequence_of_watch_faults_delays_a_change_beyond_the_bound"
    ),
    "test_many_beside_each_other_send_a_cold_worker_no_more_than_its_budget_and_chance": (
        "test_many_instances_together_stay_within_the_allowance_of_a_cold_worker"
    ),
    "test_a_cold_worker_that_is_given_a_warm_ones_part_would_pass_it": (
        "test_cold_worker_with_the_share_of_a_warm_one_exceeds_its_allowance"
    ),
    "test_a_client_that_leaves_in_any_wait_has_no_attempt_begun_after_it": (
        "test_no_attempt_starts_after_a_disconnect_in_any_wait"
    ),
    "test_a_first_answer_that_leaves_out_who_drains_ends_what_is_resting_and_on_its_way_there": (
        "test_endpoint_missing_in_a_complete_list_loses_its_connections"
    ),
    "test_commands_in_pieces_are_taken_once_each_whole_and_in_order": (
        "test_split_commands_are_handled_once_and_in_order"
    ),
    "test_a_trace_is_read_up_to_where_it_was_cut": "test_a_truncated_or_damaged_trace_is_read_up_to_the_fault",
    "test_rotation_is_bounded_and_a_full_disk_stops_the_recording_alone": (
        "test_rotation_is_bounded_and_a_write_failure_stops_only_the_recording"
    ),
    "test_clocks_that_differ_are_set_and_one_that_steps_back_is_told": (
        "test_clock_skew_is_corrected_and_backward_steps_are_reported"
    ),
    "test_scaling_keeps_rate_a_customer_and_burstiness": "test_scaling_preserves_the_rate_per_customer_and_burstiness",
    "test_the_same_seed_plays_the_same_day": "test_the_same_seed_gives_the_same_run",
    "test_troubles_cost_service_and_every_request_ends": "test_faults_lower_service_and_every_request_ends",
    "test_interval_covers_the_mean_as_often_as_it_says": "test_the_confidence_interval_has_its_nominal_coverage",
    "test_a_against_a_is_no_difference_and_fewer_workers_are_worse": (
        "test_equal_options_do_not_differ_and_fewer_workers_are_worse"
    ),
    "test_randomisation_by_hand": "test_the_randomisation_test_gives_exact_p_values",
    "test_a_verdict_that_is_too_small_says_how_many_runs": "test_an_undecided_verdict_gives_the_number_of_runs_needed",
    "test_from_a_running_gatekeeper_to_a_verdict": "test_a_recording_of_a_running_gatekeeper_can_be_compared",
    "test_draws_hang_on_seed_cause_and_index_alone": "test_draws_depend_on_seed_stream_and_index_alone",
    "test_quantiles_of_a_shape": "test_quantiles_of_the_log_normal_distribution",
    "test_options_that_differ_late_are_the_same_until_then": (
        "test_options_that_differ_late_give_equal_series_until_then"
    ),
    "test_repeats_of_clients_hang_on_the_option_and_their_draws_on_the_wish": (
        "test_client_retries_depend_on_the_option_and_count_once_in_the_requested_value"
    ),
    "test_surges_come_from_a_trace_too": "test_a_surge_multiplies_the_arrivals_of_a_trace",
    "test_a_partition_parts_rooms_and_heals": "test_a_network_partition_separates_zones_and_heals",
    "test_cold_workers_that_are_sent_too_much_fall": "test_overloaded_cold_workers_crash",
    "test_a_study_stopped_and_resumed_gives_the_same_bytes": (
        "test_an_interrupted_and_resumed_study_stores_the_same_bytes"
    ),
    "test_a_studys_name_hangs_on_all_that_its_figures_hang_on": (
        "test_the_identifier_of_a_study_depends_on_everything_that_determines_its_figures"
    ),
    "test_another_version_of_the_module_plays_in_the_same_world": (
        "test_another_version_of_the_decision_module_can_be_simulated"
    ),
    "test_a_fit_finds_the_workers_that_made_the_trace": (
        "test_a_fit_recovers_the_worker_parameters_of_a_simulated_trace"
    ),
    "test_units_tell_the_way_from_the_work": (
        "test_requests_of_different_size_separate_the_round_trip_from_the_service_time"
    ),
    "test_times_of_messages_are_found_by_playing_the_trace_again": (
        "test_message_delays_are_fitted_by_simulating_the_trace"
    ),
    "test_the_weakest_day_is_worse_than_the_plain_one_and_the_same_again": (
        "test_the_worst_fault_found_lowers_service_and_is_a_valid_script_line"
    ),
    "test_the_smallest_fleet_keeps_what_one_less_does_not": (
        "test_the_smallest_fleet_meets_the_measure_and_a_smaller_one_does_not"
    ),
    "test_from_two_settings_to_a_page": "test_two_settings_are_compared_stored_and_reported",
    "test_faults_are_one_clear_line": "test_invalid_arguments_are_reported_in_one_line",
    "test_access_logs_of_proxies_become_a_trace": "test_proxy_access_logs_are_imported_as_a_trace",
    "test_what_a_killed_gatekeeper_held_is_carried_to_its_end_once": (
        "test_requests_queued_at_a_killed_instance_are_completed_once"
    ),
    "test_a_client_that_comes_back_before_the_loss_is_known_gets_the_one_answer": (
        "test_a_client_that_retries_before_the_lease_expires_gets_the_same_answer"
    ),
    "test_an_attempt_that_is_out_when_its_gatekeeper_is_killed": (
        "test_an_attempt_that_is_in_flight_when_its_instance_is_killed"
    ),
    "test_a_stopped_origin_that_wakes_sends_nothing_more": "test_a_stopped_primary_that_resumes_sends_no_more_attempts",
    "test_a_keeper_that_is_killed_or_stopped_is_left_for_another": (
        "test_a_backup_that_is_killed_or_stopped_is_replaced"
    ),
    "test_a_keeper_killed_and_then_its_origin": "test_a_backup_is_killed_and_then_its_primary",
    "test_an_origin_cut_off_from_its_keeper_goes_on_with_another": (
        "test_a_primary_partitioned_from_its_backup_uses_another"
    ),
    "test_an_origin_cut_off_from_all_sends_nothing_that_may_not_run_again": (
        "test_a_primary_partitioned_from_all_instances_sends_no_unsafe_request"
    ),
    "test_lost_and_doubled_datagrams_cost_no_request": "test_lost_and_duplicated_datagrams_lose_no_request",
    "test_a_keeper_that_answers_late_makes_no_request_late": "test_a_backup_that_answers_late_delays_no_request",
    "test_messages_that_come_after_the_lease_is_out_change_nothing": (
        "test_messages_that_arrive_after_the_lease_has_expired_change_nothing"
    ),
    "test_origin_and_keeper_killed_together_run_nothing_twice": (
        "test_primary_and_backup_killed_together_execute_nothing_twice"
    ),
    "test_what_an_ending_gatekeeper_can_not_finish_is_carried_on": (
        "test_requests_that_a_draining_instance_cannot_finish_are_taken_over"
    ),
    "test_a_fleet_restarted_one_after_another_twice_runs_each_once": (
        "test_two_rolling_restarts_execute_each_request_once"
    ),
    "test_a_proxy_whose_gatekeeper_was_killed_goes_on_at_the_keeper": (
        "test_a_proxy_whose_instance_was_killed_continues_at_the_backup"
    ),
    "test_an_attempt_that_may_have_run_is_not_made_again_at_the_keeper": (
        "test_an_attempt_that_may_have_been_executed_is_not_repeated_at_the_backup"
    ),
    "test_a_proxy_that_asks_a_third_gatekeeper_gets_no_second_run": (
        "test_a_proxy_that_asks_a_third_instance_gets_no_second_execution"
    ),
    "test_a_held_check_may_go_on_at_a_third_gatekeeper": "test_a_queued_check_may_continue_at_a_third_instance",
    "test_a_check_that_was_held_is_asked_again_at_the_keeper_and_goes": (
        "test_a_queued_check_that_is_repeated_at_the_backup_is_allowed"
    ),
    "test_the_same_name_at_all_gatekeepers_at_once_runs_once": (
        "test_the_same_identity_at_all_instances_at_once_is_executed_once"
    ),
    "test_clients_that_come_back_at_every_gatekeeper_get_the_one_answer": (
        "test_clients_that_retry_at_every_instance_get_the_same_answer"
    ),
    "test_no_trouble_runs_an_unsafe_request_twice_or_after_its_end": (
        "test_no_fault_executes_an_unsafe_request_twice_or_after_its_end"
    ),
    "test_hundreds_in_hand_at_one_kill_end_once_and_the_takers_serve_on": (
        "test_hundreds_in_flight_at_one_kill_end_once_and_the_backups_serve_on"
    ),
    "test_at_the_cap_on_records_no_more_are_kept_and_service_goes_on": (
        "test_at_the_cap_on_records_no_more_are_replicated_and_service_continues"
    ),
    "test_next_of_the_set_that_is_not_gone_is_asked": "test_the_next_reachable_instance_of_the_set_is_asked",
    "test_who_is_left_alone_lends_to_itself": "test_an_instance_that_reaches_no_other_grants_to_itself",
    "test_ceilings_and_slots_are_never_lent_by_another": "test_ceilings_and_slots_are_never_granted_by_another",
    "test_a_unit_counts_for_more_the_fewer_are_left_but_can_still_be_granted": (
        "test_a_unit_costs_more_the_fewer_instances_are_reachable_but_can_still_be_granted"
    ),
    "test_a_request_that_waits_for_a_home_goes_on_by_the_next_and_the_late_word_is_handed_back": (
        "test_a_request_that_waits_for_an_unreachable_owner_asks_the_next_and_returns_the_late_grant"
    ),
    "test_rules_hold_whoever_is_taken_for_gone": "test_rules_hold_whichever_instances_are_taken_for_unreachable",
    "test_ceilings_that_others_lend_too_are_found": "test_ceilings_that_others_grant_too_are_detected",
    "test_parts_of_a_cut_fleet_lend_the_quota_once_more": "test_each_side_of_a_partition_grants_the_quota_once_more",
    "test_a_unit_that_counts_once_everywhere_is_found": "test_a_unit_that_costs_one_everywhere_is_detected",
    "test_tenants_of_a_killed_home_are_served_by_the_others_and_by_it_when_it_is_back": (
        "test_customers_of_a_killed_owner_are_served_by_the_others_and_by_it_after_its_restart"
    ),
    "test_both_sides_of_a_cut_serve_and_keep_the_stated_bound": (
        "test_both_sides_of_a_partition_serve_and_keep_the_stated_bound"
    ),
    "test_a_death_a_new_life_a_pause_and_a_leave_are_known_to_all": (
        "test_a_kill_a_restart_a_pause_and_a_leave_are_known_to_all"
    ),
    "test_a_cut_between_rooms_and_lost_and_doubled_datagrams_end_in_one_view": (
        "test_a_partition_between_zones_and_lost_and_duplicated_datagrams_end_in_one_view"
    ),
    "test_without_its_line_nobody_is_probed": "test_without_a_members_line_no_instance_is_probed",
    "test_settings_that_cannot_be_are_named": "test_invalid_member_settings_are_reported",
    "test_every_answer_is_right_for_one_version_and_all_end_on_the_same": (
        "test_every_answer_matches_one_version_and_all_instances_converge"
    ),
}
# Files that came for the sake of the rename; they must not make up for tests that are lost.
NEW = {
    "test_unreadable_input.py",
    "mixed_versions.py",
    "test_collection.py",
    "test_settings_characterization.py",
    "settings_samples.py",
    "test_wire_bytes.py",
    "wire_samples.py",
    "test_decision_digests.py",
    "test_gateway_event_batches.py",
    "test_gateway_process_stall.py",
    "test_gateway_timers.py",
    "decision_schedule.py",
    "record_decisions.py",
    "test_policy_admission.py",
    "test_instance_wiring.py",
    "test_policy_concurrency_limit.py",
    "test_policy_decay.py",
    "test_policy_endpoints.py",
    "test_policy_quotas.py",
    "test_policy_retries.py",
    "test_policy_timers.py",
}
FUNCTIONS_BEFORE, ASSERTS_BEFORE = 618, 1404  # of all files under tests at d16e519


def function_of(test_id):
    """File and function of a test id, without parameters."""
    return test_id.partition("[")[0]


def name_of(test_id):
    """The name of the function alone."""
    return function_of(test_id).rpartition("::")[2]


def is_whole(session):
    """Whether a run has collected every test file and left out no test of them."""
    option = session.config.option
    if option.keyword or option.markexpr or option.deselect or any("::" in each for each in session.config.args):
        return False
    return {item.path for item in session.items} >= set(TESTS.rglob("test_*.py"))


def collected_by_another_process():
    """How many ids pytest collects of the whole folder, those of new files left out."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", str(TESTS)]
    done = subprocess.run(command, cwd=TESTS.parent, capture_output=True, text=True, timeout=120, check=True)
    lines = [line for line in done.stdout.splitlines() if "::" in line and not line.startswith("known red")]
    return sum(pathlib.Path(line.partition("::")[0]).name not in NEW for line in lines)


@pytest.fixture(scope="module")
def nodes():
    """Every node of the syntax trees of all files under tests, new files left out."""
    paths = [path for path in TESTS.rglob("*.py") if path.name not in NEW]
    return [node for path in paths for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))]


@pytest.fixture(scope="module")
def names(nodes):
    """The name of each test function that is there, as often as it is there."""
    functions = (node for node in nodes if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef))
    return collections.Counter(node.name for node in functions if node.name.startswith("test"))


def test_every_recorded_test_function_is_still_there(names):
    wanted = collections.Counter(name_of(function) for function in {function_of(each) for each in BEFORE})
    after = collections.Counter()
    for name, count in wanted.items():
        after[RENAMED.get(name, name)] += count
    assert after - names == collections.Counter()


def test_each_renamed_function_was_recorded_and_is_gone(names):
    known = {name_of(each) for each in BEFORE}
    assert [old for old in RENAMED if old not in known or old in names] == []


def test_there_are_at_least_as_many_test_functions_as_recorded(names):
    assert names.total() >= FUNCTIONS_BEFORE


def test_there_are_at_least_as_many_asserts_as_recorded(nodes):
    assert sum(isinstance(node, ast.Assert) for node in nodes) >= ASSERTS_BEFORE


def test_at_least_as_many_ids_are_collected_as_recorded(request):
    session = request.session
    if is_whole(session):
        count = sum(item.path.name not in NEW for item in session.items)
    else:
        count = collected_by_another_process()
    assert count >= len(BEFORE)
