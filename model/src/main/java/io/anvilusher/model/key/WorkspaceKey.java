package io.anvilusher.model.key;

/**
 * A key as the system keeps it.
 *
 * @param keyId public part of the key
 * @param workspace the workspace that it stands for
 * @param secretHash SHA-256 of the secret part, in hexadecimal
 * @param withdrawn whether it was withdrawn
 */
public record WorkspaceKey(String keyId, String workspace, String secretHash, boolean withdrawn) {

}
